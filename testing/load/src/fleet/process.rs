//! One process of ours.

use std::fs;
use std::io;
use std::path;
use std::process;
use std::time;

use rustix::process as signals;

use super::{Error, Usage};

/// A process that is killed when dropped; its standard error goes to a log file.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: path::PathBuf,
    settings: path::PathBuf,
    log: path::PathBuf,
    child: Option<process::Child>,
    starts: Vec<units::Wall>,
}

/// Signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Asks it to stop gracefully.
    Terminate,
    /// Ends it at once.
    Kill,
    /// Freezes it.
    Stop,
    /// Lets a frozen one go on.
    Continue,
}

impl From<Signal> for signals::Signal {
    fn from(signal: Signal) -> Self {
        match signal {
            Signal::Terminate => Self::TERM,
            Signal::Kill => Self::KILL,
            Signal::Stop => Self::STOP,
            Signal::Continue => Self::CONT,
        }
    }
}

impl Process {
    /// Longest time that a graceful stop may take.
    pub const STOP_LIMIT: time::Duration = time::Duration::from_secs(40);
    /// Pause between two looks at a stopping process.
    const POLL: time::Duration = time::Duration::from_millis(20);
    /// Log lines that an error shows.
    const LOG_LINES: usize = 8;

    /// Starts `program --settings SETTINGS`, with its log beside the settings.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn start(
        name: &str,
        program: path::PathBuf,
        settings: path::PathBuf,
    ) -> Result<Self, Error> {
        let log = settings.with_extension("log");
        let mut process = Self {
            name: name.to_owned(),
            program,
            settings,
            log,
            child: None,
            starts: Vec::new(),
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts it again after it ended; the log goes on in the same file.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn restart(&mut self) -> Result<(), Error> {
        let what = format!("cannot start {}", self.name);
        self.starts.push(units::Wall::now());
        let started = self.spawn().map_err(Error::system(what))?;
        self.child = Some(started);
        Ok(())
    }

    fn spawn(&self) -> io::Result<process::Child> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        process::Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// File with its log.
    #[must_use]
    pub fn log(&self) -> &path::Path {
        &self.log
    }

    /// When it was started, in order.
    #[must_use]
    pub fn starts(&self) -> &[units::Wall] {
        &self.starts
    }

    /// Whether it runs, frozen or not.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Fails when it does not run.
    ///
    /// # Errors
    /// [`Error::Ended`].
    pub fn check_running(&mut self) -> Result<(), Error> {
        if self.is_running() {
            return Ok(());
        }
        let status = self.child.as_mut().and_then(|child| child.wait().ok());
        Err(Error::Ended {
            name: self.name.clone(),
            status: status.map_or("not started".to_owned(), |status| status.to_string()),
            log: self.log_end(),
        })
    }

    /// Sends `signal` to it; one that has ended is left alone.
    pub fn send(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| {
            let id = i32::try_from(child.id()).ok()?;
            signals::Pid::from_raw(id)
        });
        if let Some(id) = id {
            // Fails only for a process that has ended and was not waited for yet.
            let _ = signals::kill_process(id, signal.into());
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to stop and gives how it ended.
    ///
    /// # Errors
    /// [`Error::Late`] when it does not end; it is killed then.
    pub async fn stop(&mut self) -> Result<process::ExitStatus, Error> {
        self.send(Signal::Terminate);
        self.ended().await
    }

    /// Waits until it has ended and gives how.
    ///
    /// # Errors
    /// [`Error::Late`] when it does not end; it is killed then.
    pub async fn ended(&mut self) -> Result<process::ExitStatus, Error> {
        let started = time::Instant::now();
        while started.elapsed() < Self::STOP_LIMIT {
            let Some(child) = self.child.as_mut() else {
                break;
            };
            let ended = child.try_wait();
            let ended = ended.map_err(Error::system(format!("cannot wait for {}", self.name)))?;
            if let Some(status) = ended {
                self.child = None;
                return Ok(status);
            }
            compio::time::sleep(Self::POLL).await;
        }
        self.kill();
        Err(Error::Late {
            what: format!("the graceful stop of {}", self.name),
            limit: units::Period(Self::STOP_LIMIT),
        })
    }

    /// Processor time and memory so far; `None` once it has ended.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.child.as_ref()?.id())
    }

    /// The last lines of its log.
    #[must_use]
    pub fn log_end(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(Self::LOG_LINES)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
