//! What became of one request, from the log lines of all processes.

use std::io::BufRead;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::console;

/// What became of one request: the decisions about it, and what its processes believed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Story {
    /// The request's id.
    pub request: String,
    /// The lines in the order of their time.
    pub lines: Vec<Line>,
}

/// One log line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// When it was written, by the clock of its process.
    pub time: String,
    /// The process that wrote it.
    pub process: String,
    /// Whether it is about the request; others say what the process believed then.
    pub own: bool,
    /// Event, or what happened.
    pub event: String,
    /// The rest of the line.
    pub fields: Map<String, Value>,
}

impl Story {
    /// Lines about a process's beliefs that are shown before the first one about the request.
    const BEFORE: usize = 3;

    /// Reads the lines of `sources` and tells the story of `request`.
    ///
    /// Lines that are no JSON objects are left out; text before an object, as collectors of logs
    /// add it, is too.
    ///
    /// # Errors
    /// The error of the source that cannot be read.
    pub fn read(request: &str, sources: Vec<Box<dyn BufRead>>) -> std::io::Result<Self> {
        let mut all = Vec::new();
        for source in sources {
            for line in source.lines() {
                all.extend(Line::parse(&line?, request));
            }
        }
        // The sort is stable, so that the lines of one process keep their order.
        all.sort_by(|one, other| one.time.cmp(&other.time));
        let involved: Vec<_> = all
            .iter()
            .filter(|line| line.own)
            .map(|line| line.process.clone())
            .collect();
        let mut lines = Vec::new();
        let mut before = Vec::new();
        let last = all.iter().rposition(|line| line.own);
        for (place, line) in all.into_iter().enumerate() {
            if last.is_none_or(|last| place > last) {
                break;
            }
            if line.own {
                lines.append(&mut before);
                lines.push(line);
            } else if involved.contains(&line.process) {
                before.push(line);
                if lines.is_empty() && before.len() > Self::BEFORE * involved.len() {
                    before.remove(0);
                }
            }
        }
        let request = request.to_owned();
        Ok(Self { request, lines })
    }
}

impl Line {
    fn parse(text: &str, request: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => text,
            Some(other) => other.to_string(),
            None => String::new(),
        };
        let (time, process) = (take("time"), take("process"));
        let message = take("message");
        let named = take("event");
        let event = if named.is_empty() { message } else { named };
        let id = fields.get("request").and_then(Value::as_str);
        // Attempts between nodes add a number to the id.
        let attempt = |id: &str| {
            id.strip_prefix(request)
                .is_some_and(|rest| rest.starts_with('.'))
        };
        let own = id.is_some_and(|id| id == request || attempt(id));
        let other = id.is_some() && !own;
        fields.remove("module");
        (!other && !process.is_empty()).then_some(Self {
            time,
            process,
            own,
            event,
            fields,
        })
    }
}

impl console::Show for Story {
    fn table(&self) -> String {
        if self.lines.is_empty() {
            return format!("no line names the request {}", self.request);
        }
        let rows = self.lines.iter().map(|line| {
            let mark = if line.own { "*" } else { " " };
            let fields = line.fields.iter().map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            });
            let fields: Vec<_> = fields.collect();
            let (time, process, event) = (&line.time, &line.process, &line.event);
            format!("{mark} {time}  {process}  {event}  {}", fields.join(" "))
        });
        rows.collect::<Vec<_>>().join("\n")
    }
}
