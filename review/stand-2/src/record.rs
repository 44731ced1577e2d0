//! What was sent, answered and run, line by line with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run; clones share it.
#[derive(Clone)]
pub struct Record {
    shared: Arc<(Instant, Mutex<File>)>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            shared: Arc::new((Instant::now(), file)),
        })
    }

    pub fn line(&self, text: &str) {
        let (started, file) = &*self.shared;
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{:8.3} {text}", started.elapsed().as_secs_f64());
        }
    }
}
