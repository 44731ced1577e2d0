//! Lines that a thread of their own writes.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time;

/// Lines that a thread of their own writes, so that whoever logs never waits for a reader.
///
/// Lines beyond the capacity are dropped and counted; the writer says how many once it goes on.
pub struct Sink {
    lines: mpsc::SyncSender<Vec<u8>>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    dropped: AtomicU64,
    waiting: AtomicU64,
}

impl Sink {
    /// Longest wait for the lines to be written at the end of the process.
    const FLUSH_LIMIT: time::Duration = time::Duration::from_millis(200);

    /// Writes to `output`; up to `capacity` lines wait.
    #[must_use]
    pub fn start(output: impl io::Write + Send + 'static, capacity: usize) -> Self {
        let (sender, receiver) = mpsc::sync_channel(capacity);
        let shared = Arc::<Shared>::default();
        let counted = shared.clone();
        thread::spawn(move || write(output, &receiver, &counted));
        Self {
            lines: sender,
            shared,
        }
    }

    /// Hands a line over, or drops and counts it.
    pub fn offer(&self, line: Vec<u8>) {
        self.shared.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines dropped that the writer has not told of yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Waits until the lines are written, for a short time at most.
    pub fn flush(&self) {
        const STEP: time::Duration = time::Duration::from_millis(2);
        let started = time::Instant::now();
        while self.shared.waiting.load(Ordering::Relaxed) > 0
            && started.elapsed() < Self::FLUSH_LIMIT
        {
            thread::sleep(STEP);
        }
    }
}

/// Bytes that are written at once.
const BATCH_BYTES: usize = 64 * 1024;
/// Pause between two writes, in which lines gather: waking up for each line costs more than the line.
const PAUSE: time::Duration = time::Duration::from_millis(20);

fn write(mut output: impl io::Write, lines: &mpsc::Receiver<Vec<u8>>, shared: &Shared) {
    while let Ok(mut batch) = lines.recv() {
        let mut taken = 1;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            taken += 1;
        }
        // A closed output leaves nowhere to report to.
        let _ = output.write_all(&batch);
        let dropped = shared.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let told = format!("{{\"event\":\"log-lines-dropped\",\"count\":{dropped}}}\n");
            let _ = output.write_all(told.as_bytes());
        }
        let _ = output.flush();
        shared.waiting.fetch_sub(taken, Ordering::Relaxed);
        thread::sleep(PAUSE);
    }
}
