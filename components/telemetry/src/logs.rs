//! Logs as JSON lines on standard output.

use std::io;
use std::sync::Mutex;
use std::time;

use compact_str::CompactString;
use log::kv;
use serde::{Deserialize, Serialize};
use simplelog::{LevelFilter, SharedLogger};

use crate::{Panics, Quotas, Sink};

/// Least severe level that is written.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// Faults that need an operator.
    Error,
    /// Faults that the process handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// What helps to find a fault.
    Debug,
    /// Everything.
    Trace,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

/// Lines that may wait for the writer.
const WAITING_LINES: usize = 2_048;

/// Starts logging for `process`; a second call changes nothing.
pub fn start_logs(process: &str, level: Level) {
    let lines = Lines {
        process: process.into(),
        level: level.into(),
        sink: Sink::start(io::stdout(), WAITING_LINES),
        quotas: Mutex::new(Quotas::new(time::Instant::now())),
    };
    // Fails only where a logger is set already.
    let _ = simplelog::CombinedLogger::init(vec![Box::new(lines)]);
    Panics::watch();
}

/// Writes each record as one JSON object on one line.
struct Lines {
    process: CompactString,
    level: LevelFilter,
    sink: Sink,
    quotas: Mutex<Quotas>,
}

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'static str,
    process: &'a str,
    module: &'a str,
    message: String,
    #[serde(flatten)]
    fields: serde_json::Map<String, serde_json::Value>,
}

impl log::Log for Lines {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if !self.is_due(record) {
            return;
        }
        let mut fields = Fields::default();
        // The visitor of this file accepts every pair.
        let _ = record.key_values().visit(&mut fields);
        let line = Line {
            time: units::Wall::now().to_string(),
            level: record.level().as_str(),
            process: &self.process,
            module: record.module_path().unwrap_or_default(),
            message: record.args().to_string(),
            fields: fields.0,
        };
        if let Ok(mut text) = serde_json::to_vec(&line) {
            text.push(b'\n');
            self.sink.offer(text);
        }
    }

    fn flush(&self) {
        self.sink.flush();
    }
}

impl Lines {
    /// Whether a line is within its quota; says how many were left out before. Errors always are.
    fn is_due(&self, record: &log::Record<'_>) -> bool {
        let now = time::Instant::now();
        // A panic while the lock is held leaves only counts behind.
        let mut quotas = self.quotas.lock().unwrap_or_else(|held| held.into_inner());
        let left_out = quotas.take_left_out(now);
        let due = quotas.take(record.target(), now) || record.level() == log::Level::Error;
        drop(quotas);
        if left_out > 0 {
            let process = &self.process;
            let told = format!(
                "{{\"event\":\"log-lines-left-out\",\"process\":\"{process}\",\"count\":{left_out}}}\n"
            );
            self.sink.offer(told.into_bytes());
        }
        due
    }
}

impl SharedLogger for Lines {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&simplelog::Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn log::Log> {
        self
    }
}

#[derive(Default)]
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool(), value.to_f64()) {
            (Some(number), _, _) => number.into(),
            (_, Some(truth), _) => truth.into(),
            (_, _, Some(number)) => number.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
