//! Ends of requests with idempotency keys.

use std::cell;
use std::collections::VecDeque;
use std::rc;
use std::time;

use bytes::Bytes;
use futures_channel::oneshot;

use crate::{Reason, Refusal, Settings};

/// Requests with idempotency keys that run here or have ended within the window; clones share them.
#[derive(Clone)]
pub struct Records {
    shared: rc::Rc<Shared>,
}

struct Shared {
    settings: rc::Rc<Settings>,
    started: time::Instant,
    state: cell::RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Sorted by key.
    records: Vec<Record>,
    /// Keys that have ended, in that order.
    ended: VecDeque<(u128, time::Instant)>,
    /// Keys whose answers are kept, oldest first, with the bytes of each.
    kept: VecDeque<(u128, usize)>,
    kept_bytes: usize,
}

struct Record {
    key: u128,
    /// Hash of method and path, which a resend must share.
    request: u64,
    progress: Progress,
}

enum Progress {
    Running(Vec<oneshot::Sender<End>>),
    Ended(End),
    /// Another owner, at one of its starts, is about to run it or has done so.
    Noted(u64),
}

/// How a request with a key ended.
#[derive(Debug, Clone)]
pub enum End {
    /// The backend server answered, and the answer is kept.
    Answer(Stored),
    /// The backend server answered with this status, and the answer is not kept.
    Answered(http::StatusCode),
    /// It may have run.
    Unknown,
    /// It did not run; the next one with its key runs.
    NotRun,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Stored {
    /// Its status.
    pub status: http::StatusCode,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What a request with a key has to do.
pub enum Start {
    /// Run, as the first one, and say how it ended.
    Run(First),
    /// Wait for the end of the one that runs.
    Join(oneshot::Receiver<End>),
    /// Take the end of the one that ran.
    Ended(End),
}

/// The one request with its key that runs; dropped without an end, its outcome is unknown.
pub struct First {
    records: Records,
    key: u128,
    ended: bool,
}

impl Records {
    /// No records yet.
    #[must_use]
    pub fn new(settings: rc::Rc<Settings>, now: time::Instant) -> Self {
        let shared = Shared {
            settings,
            started: now,
            state: cell::RefCell::default(),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Time that the records cover.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.shared.started)
    }

    /// Number of keys on record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.state.borrow().records.len()
    }

    /// Whether no key is on record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of the kept answers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.shared.state.borrow().kept_bytes
    }

    /// Begins a request with `key`; `request` is the hash of its method and path.
    ///
    /// With `recall` it is not run when there is no record of it.
    ///
    /// # Errors
    /// [`Reason::KeyReused`], [`Reason::KeyNotFound`], [`Reason::KeyNoted`], or [`Reason::KeysFull`]: a key that could not
    /// be remembered is not run.
    pub fn begin(
        &self,
        key: u128,
        request: u64,
        recall: bool,
        now: time::Instant,
    ) -> Result<Start, Refusal> {
        let mut state = self.shared.state.borrow_mut();
        state.expire(now, self.shared.settings.key_window.0);
        match state.place(key) {
            Ok(place) if recall && state.records[place].is_told() => {
                Err(Refusal::new(Reason::KeyNoted, time::Duration::ZERO))
            }
            Ok(place) => state.records[place].repeat(request),
            Err(_) if recall => Err(Refusal::new(Reason::KeyNotFound, time::Duration::ZERO)),
            Err(_) if state.records.len() >= self.shared.settings.keys => {
                Err(Refusal::new(Reason::KeysFull, time::Duration::from_secs(1)))
            }
            Err(place) => {
                let progress = Progress::Running(Vec::new());
                state.records.insert(
                    place,
                    Record {
                        key,
                        request,
                        progress,
                    },
                );
                Ok(Start::Run(First {
                    records: self.clone(),
                    key,
                    ended: false,
                }))
            }
        }
    }

    /// Notes that the owner with the id `by`, drawn at its start, is about to run the key's request.
    ///
    /// # Errors
    /// [`Reason::KeyReused`] when it is on record already, whoever ran or runs it, or
    /// [`Reason::KeysFull`].
    pub fn note(
        &self,
        key: u128,
        request: u64,
        by: u64,
        now: time::Instant,
    ) -> Result<(), Refusal> {
        let mut state = self.shared.state.borrow_mut();
        state.expire(now, self.shared.settings.key_window.0);
        let place = match state.place(key) {
            Ok(place) if state.records[place].is_noted(by) => return Ok(()),
            Ok(_) => return Err(Refusal::new(Reason::KeyReused, time::Duration::ZERO)),
            Err(place) => place,
        };
        if state.records.len() >= self.shared.settings.keys {
            return Err(Refusal::new(Reason::KeysFull, time::Duration::from_secs(1)));
        }
        let progress = Progress::Noted(by);
        state.records.insert(
            place,
            Record {
                key,
                request,
                progress,
            },
        );
        state.ended.push_back((key, now));
        Ok(())
    }

    fn end(&self, key: u128, end: &End, now: time::Instant) {
        let mut state = self.shared.state.borrow_mut();
        let Ok(place) = state.place(key) else {
            return;
        };
        let ended = Progress::Ended(end.clone());
        let before = std::mem::replace(&mut state.records[place].progress, ended);
        if matches!(end, End::NotRun) {
            state.records.remove(place);
        } else {
            state.ended.push_back((key, now));
        }
        if let End::Answer(stored) = end {
            state.keep(
                key,
                stored.body.len(),
                self.shared.settings.key_answers.as_len(),
            );
        }
        drop(state);
        if let Progress::Running(waiters) = before {
            for waiter in waiters {
                let _ = waiter.send(end.clone());
            }
        }
    }
}

impl Record {
    fn repeat(&mut self, request: u64) -> Result<Start, Refusal> {
        if self.request != request {
            return Err(Refusal::new(Reason::KeyReused, time::Duration::ZERO));
        }
        match &mut self.progress {
            Progress::Running(waiters) => {
                waiters.retain(|waiter| !waiter.is_canceled());
                let (sender, receiver) = oneshot::channel();
                waiters.push(sender);
                Ok(Start::Join(receiver))
            }
            Progress::Ended(end) => Ok(Start::Ended(end.clone())),
            Progress::Noted(_) => Ok(Start::Ended(End::Unknown)),
        }
    }

    fn is_told(&self) -> bool {
        matches!(self.progress, Progress::Noted(_))
    }

    fn is_noted(&self, by: u64) -> bool {
        matches!(self.progress, Progress::Noted(noted) if noted == by)
    }
}

impl State {
    fn place(&self, key: u128) -> Result<usize, usize> {
        self.records.binary_search_by_key(&key, |record| record.key)
    }

    /// Forgets the keys that ended longer ago than `window`.
    fn expire(&mut self, now: time::Instant, window: time::Duration) {
        while let Some((key, ended)) = self.ended.front().copied() {
            if now.saturating_duration_since(ended) < window {
                return;
            }
            self.ended.pop_front();
            if let Ok(place) = self.place(key) {
                self.records.remove(place);
            }
            self.forget_answer(key);
        }
    }

    /// Counts a kept answer; the oldest ones beyond `limit` bytes are dropped, their keys are not.
    fn keep(&mut self, key: u128, bytes: usize, limit: usize) {
        self.kept.push_back((key, bytes));
        self.kept_bytes += bytes;
        while self.kept_bytes > limit {
            let Some((oldest, bytes)) = self.kept.pop_front() else {
                return;
            };
            self.kept_bytes -= bytes;
            if let Ok(place) = self.place(oldest) {
                self.records[place].drop_answer();
            }
        }
    }

    fn forget_answer(&mut self, key: u128) {
        // Answers are kept in the order in which they expire.
        if self.kept.front().is_some_and(|oldest| oldest.0 == key)
            && let Some((_, bytes)) = self.kept.pop_front()
        {
            self.kept_bytes -= bytes;
        }
    }
}

impl Record {
    fn drop_answer(&mut self) {
        if let Progress::Ended(End::Answer(stored)) = &self.progress {
            self.progress = Progress::Ended(End::Answered(stored.status));
        }
    }
}

impl First {
    /// The request ended.
    pub fn finish(mut self, end: &End, now: time::Instant) {
        self.ended = true;
        self.records.end(self.key, end, now);
    }
}

impl Drop for First {
    fn drop(&mut self) {
        if !self.ended {
            let now = time::Instant::now();
            self.records.end(self.key, &End::Unknown, now);
        }
    }
}
