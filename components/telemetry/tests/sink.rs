//! Logging never waits, and says what it left out.

use std::io;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use telemetry::{Quota, Quotas, REQUESTS, Sink};

/// Writes nothing until it is let.
struct Stopped {
    gate: mpsc::Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl io::Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            let _ = self.gate.recv();
            self.open = true;
        }
        self.written
            .lock()
            .expect("a lock")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn offer_with_stopped_reader() {
    const CAPACITY: usize = 100;
    const LINES: usize = 10_000;
    let (gate, waiting) = mpsc::channel();
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let output = Stopped {
        gate: waiting,
        open: false,
        written: written.clone(),
    };
    let sink = Sink::start(output, CAPACITY);
    let started = Instant::now();
    for line in 0..LINES {
        sink.offer(format!("{line}\n").into_bytes());
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "logging has waited"
    );
    let dropped = sink.dropped();
    gate.send(()).expect("the writer waits");
    sink.flush();
    std::thread::sleep(Duration::from_millis(50));
    let text = String::from_utf8(written.lock().expect("a lock").clone()).expect("text");
    let lines = text.lines().filter(|line| !line.contains("event")).count();
    let told = format!("{{\"event\":\"log-lines-dropped\",\"count\":{dropped}}}");
    assert!(text.contains(&told), "{dropped} were dropped");
    assert_eq!(lines + usize::try_from(dropped).expect("a count"), LINES);
}

#[test]
fn quota_over_time() {
    let start = Instant::now();
    let mut quota = Quota::new(3, start);
    let taken = (0..10).filter(|_| quota.take(start)).count();
    assert_eq!(taken, 3);
    assert_eq!(quota.take_left_out(start), 0);
    let later = start + Duration::from_secs(1);
    assert_eq!(quota.take_left_out(later), 7);
    assert!(quota.take(later));
    assert_eq!(quota.take_left_out(later), 0);
}

#[test]
fn quotas_flooded_by_requests() {
    const CHANGES: usize = 40;
    let start = Instant::now();
    let mut quotas = Quotas::new(start);
    let requests = (0..10_000).filter(|_| quotas.take(REQUESTS, start));
    let requests = requests.count();
    let changes = (0..CHANGES).filter(|_| quotas.take("distribution::mirror", start));
    assert_eq!(changes.count(), CHANGES, "changes of belief are pushed out");
    assert!(
        requests < 100,
        "{requests} lines about requests in a second"
    );
    let later = start + Duration::from_secs(1);
    assert_eq!(quotas.take_left_out(later), 10_000 - requests as u64);
}
