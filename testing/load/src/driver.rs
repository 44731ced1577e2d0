//! Sends planned calls at their time, whatever becomes of earlier ones.

use std::cell;
use std::rc;
use std::thread;
use std::time;

use futures_channel::oneshot;
use serde::Serialize;

use crate::caller::{Connection, Outcome, Protocol, Seen};
use crate::plan::Planned;

/// How callers reach the mesh.
#[derive(Debug, Clone)]
pub struct Driver {
    /// Addresses that a caller may use, in the order of its preference from its own one on.
    pub targets: Vec<units::Address>,
    /// Connections to each address from each thread, for HTTP/2.
    pub connections: usize,
    /// Version of HTTP.
    pub protocol: Protocol,
    /// Threads that send.
    pub threads: usize,
    /// Attempts of a caller that may send its call again: after `not-run`, and with a key or an
    /// idempotent method also after an outcome that is not known.
    pub attempts: u32,
}

units::record! {
    /// A call and what became of it.
    #[derive(Serialize)]
    pub struct Done {
        /// The planned call.
        #[serde(skip)]
        pub planned: Planned,
        /// What each attempt saw, in order; empty when no address took a connection.
        pub seen: Vec<Seen>,
        /// Time from the planned start to the end of the last attempt.
        #[serde(skip)]
        pub latency: time::Duration,
    }
}

impl Done {
    /// What became of the last attempt.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.seen
            .last()
            .map_or(Outcome::Broken, |seen| seen.outcome)
    }
}

impl Driver {
    /// Longest wait of a caller before it sends again.
    const LONGEST_WAIT: time::Duration = time::Duration::from_secs(1);
    /// Wait of a caller that was told no time.
    const DEFAULT_WAIT: time::Duration = time::Duration::from_millis(100);

    /// Callers over HTTP/2 at `targets` that send each call once.
    #[must_use]
    pub fn new(targets: Vec<units::Address>) -> Self {
        Self {
            targets,
            connections: 2,
            protocol: Protocol::Http2,
            threads: 2,
            attempts: 1,
        }
    }

    /// Runs the plan from now on; gives every call in the order of the plan.
    pub async fn run(&self, plan: Vec<Planned>) -> Vec<Done> {
        let started = time::Instant::now();
        let count = plan.len();
        let mut parts: Vec<Vec<(usize, Planned)>> = vec![Vec::new(); self.threads];
        for (number, planned) in plan.into_iter().enumerate() {
            parts[number % self.threads].push((number, planned));
        }
        let threads: Vec<_> = parts
            .into_iter()
            .map(|part| self.spawn(part, started))
            .collect();
        let mut done = Vec::with_capacity(count);
        for receiver in threads {
            done.extend(receiver.await.unwrap_or_default());
        }
        done.sort_unstable_by_key(|(number, _)| *number);
        done.into_iter().map(|(_, done)| done).collect()
    }

    fn spawn(
        &self,
        part: Vec<(usize, Planned)>,
        started: time::Instant,
    ) -> oneshot::Receiver<Vec<(usize, Done)>> {
        let (sender, receiver) = oneshot::channel();
        let driver = self.clone();
        thread::spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else {
                return;
            };
            let done = runtime.block_on(driver.send_all(part, started));
            // The receiver is gone only when the run was given up.
            let _ = sender.send(done);
        });
        receiver
    }

    async fn send_all(
        self,
        part: Vec<(usize, Planned)>,
        started: time::Instant,
    ) -> Vec<(usize, Done)> {
        let pool = rc::Rc::new(Pool::new(self));
        let mut tasks = Vec::with_capacity(part.len());
        for (number, planned) in part {
            compio::time::sleep_until(started + planned.at).await;
            let pool = pool.clone();
            tasks.push(compio::runtime::spawn(async move {
                let done = pool.send(number, planned, started).await;
                (number, done)
            }));
        }
        let mut done = Vec::with_capacity(tasks.len());
        for task in tasks {
            done.extend(task.await.ok());
        }
        done
    }
}

/// Connections of one thread.
struct Pool {
    driver: Driver,
    /// HTTP/2: connections by target; HTTP/1.1: idle connections by target.
    open: Vec<cell::RefCell<Vec<rc::Rc<Connection>>>>,
}

impl Pool {
    fn new(driver: Driver) -> Self {
        let open = driver.targets.iter().map(|_| cell::RefCell::default());
        let open = open.collect();
        Self { driver, open }
    }

    async fn send(&self, number: usize, mut planned: Planned, started: time::Instant) -> Done {
        let due = started + planned.at;
        let mut seen = Vec::new();
        for attempt in 0..self.driver.attempts {
            let Some(last) = self.attempt(number + attempt as usize, &planned).await else {
                break;
            };
            let wait = self.wait(&planned, &last);
            if last.outcome != Outcome::NotRun {
                planned.call.attempt += 1;
            }
            seen.push(last);
            match wait {
                Some(wait) if attempt + 1 < self.driver.attempts => {
                    compio::time::sleep(wait).await;
                }
                _ => break,
            }
        }
        Done {
            planned,
            seen,
            latency: due.elapsed(),
        }
    }

    /// Time to wait before the call is sent again; none when it must not be.
    fn wait(&self, planned: &Planned, seen: &Seen) -> Option<time::Duration> {
        let again = match seen.outcome {
            Outcome::NotRun => true,
            Outcome::Unknown | Outcome::Broken | Outcome::TimedOut => {
                planned.call.verb.is_idempotent() || planned.call.key.is_some()
            }
            _ => false,
        };
        let wait = seen.retry_after.map_or(Driver::DEFAULT_WAIT, |told| told.0);
        again.then(|| wait.min(Driver::LONGEST_WAIT))
    }

    /// Sends the call once to the first address that takes a connection.
    async fn attempt(&self, number: usize, planned: &Planned) -> Option<Seen> {
        let count = self.driver.targets.len();
        for offset in 0..count {
            let target = (number + offset) % count;
            if let Some(connection) = self.take(target, number).await {
                let seen = planned.call.run(&connection).await;
                self.give_back(target, connection, &seen);
                if seen.outcome != Outcome::Unsent {
                    return Some(seen);
                }
            }
        }
        None
    }

    /// A connection to `target`; none when it does not take one.
    async fn take(&self, target: usize, number: usize) -> Option<rc::Rc<Connection>> {
        if let Some(connection) = self.held(target, number) {
            return Some(connection);
        }
        let address = self.driver.targets[target];
        let opening = Connection::open(address, self.driver.protocol);
        let opened = compio::time::timeout(Driver::LONGEST_WAIT, opening).await;
        let connection = rc::Rc::new(opened.ok()?.ok()?);
        if self.driver.protocol == Protocol::Http2 {
            self.open[target].borrow_mut().push(connection.clone());
        }
        Some(connection)
    }

    fn held(&self, target: usize, number: usize) -> Option<rc::Rc<Connection>> {
        let mut open = self.open[target].borrow_mut();
        open.retain(|connection| !connection.is_closed());
        match self.driver.protocol {
            Protocol::Http1 => open.pop(),
            Protocol::Http2 if open.len() < self.driver.connections => None,
            Protocol::Http2 => Some(open[number / self.driver.targets.len() % open.len()].clone()),
        }
    }

    /// Keeps a connection of HTTP/1.1 for the next call, unless its answer is still to come.
    fn give_back(&self, target: usize, connection: rc::Rc<Connection>, seen: &Seen) {
        let unfinished = matches!(
            seen.outcome,
            Outcome::Broken | Outcome::TimedOut | Outcome::Unsent
        );
        if self.driver.protocol == Protocol::Http1 && !unfinished {
            self.open[target].borrow_mut().push(connection);
        }
    }
}
