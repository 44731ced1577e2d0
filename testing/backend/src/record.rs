//! Record of the requests that a backend server ran.

use std::collections;
use std::fs;
use std::io;
use std::io::Write;
use std::path;

use serde::Serialize;

use crate::{Ending, Event, Run};

/// The record in memory, and in a file where the settings name one.
pub struct Record {
    /// The latest runs, in the order of their start.
    runs: collections::VecDeque<Run>,
    limit: usize,
    next: u64,
    file: Option<fs::File>,
    counts: Counts,
}

units::record! {
    /// How many requests came to what.
    #[derive(Default, Serialize, serde::Deserialize)]
    pub struct Counts {
        /// Requests that arrived.
        pub arrived: u64,
        /// Requests whose execution began.
        pub ran: u64,
        /// Requests refused unexecuted since every slot was in use.
        pub shed: u64,
        /// Requests refused unexecuted since their deadline had passed.
        pub late: u64,
        /// Requests whose body broke off, so that they never ran.
        pub broken: u64,
        /// Executions that ended with an answer of success.
        pub answered: u64,
        /// Executions that ended with an error.
        pub failed: u64,
        /// Executions that the caller cancelled.
        pub cancelled: u64,
        /// Executions that their deadline stopped.
        pub expired: u64,
        /// Most executions at a time.
        pub most_running: u32,
    }
}

impl Record {
    /// An empty record.
    ///
    /// # Errors
    /// The error of the operating system, when the file cannot be opened.
    pub fn open(limit: usize, file: Option<&path::Path>) -> io::Result<Self> {
        let file = match file {
            Some(path) => Some(
                fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(path)?,
            ),
            None => None,
        };
        Ok(Self {
            runs: collections::VecDeque::new(),
            limit,
            next: 0,
            file,
            counts: Counts::default(),
        })
    }

    /// Runs in memory, in the order of their start.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter()
    }

    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The counts, for requests that never begin.
    pub fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// Records that `run` begins, and gives it its number.
    pub fn start(&mut self, mut run: Run) -> u64 {
        let number = self.next;
        self.next += 1;
        self.counts.ran += 1;
        run.number = number;
        if self.file.is_some() {
            self.append(&Event::Start(Box::new(run.clone())));
        }
        if self.runs.len() >= self.limit {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        number
    }

    /// Records how run `number` of process `instance` ended.
    pub fn end(&mut self, instance: u64, number: u64, ending: Ending) {
        let now = units::Wall::now();
        match ending {
            Ending::Answered => self.counts.answered += 1,
            Ending::Failed => self.counts.failed += 1,
            Ending::Cancelled => self.counts.cancelled += 1,
            Ending::Expired => self.counts.expired += 1,
            Ending::Crashed => {}
        }
        self.append(&Event::End(instance, number, now, ending));
        let place = self.runs.binary_search_by_key(&number, |run| run.number);
        if let Ok(place) = place {
            self.runs[place].end = Some(now);
            self.runs[place].ending = Some(ending);
        }
    }

    fn append(&mut self, event: &Event) {
        let Some(file) = &mut self.file else { return };
        let Ok(mut line) = serde_json::to_vec(event) else {
            return;
        };
        line.push(b'\n');
        if let Err(error) = file.write_all(&line) {
            log::error!(error:% = error; "the record file cannot be written");
        }
    }
}
