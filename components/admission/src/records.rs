//! Records of requests with idempotency keys.

use std::cell;
use std::collections::VecDeque;
use std::rc;
use std::time;

use bytes::Bytes;
use futures_channel::oneshot;

use crate::{Reason, Refusal, Settings};

/// Requests with idempotency keys that run here or ended within the window; clones share the state.
#[derive(Clone)]
pub struct KeyRecords {
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
    /// Keys of ended requests, in the order in which the requests ended.
    ended: VecDeque<(u128, time::Instant)>,
    /// Keys whose answers are kept, the oldest first, with the size of each answer in bytes.
    kept: VecDeque<(u128, usize)>,
    kept_bytes: usize,
}

struct Record {
    key: u128,
    /// Hash of method and path, which must be equal in a retry.
    request: u64,
    progress: Progress,
}

enum Progress {
    Running(Vec<oneshot::Sender<End>>),
    Ended(End),
    /// The owner with this id, drawn at its start, is about to run the request or has run it.
    Noted(u64),
}

/// Outcome of a request with a key.
#[derive(Debug, Clone)]
pub enum End {
    /// The backend server answered, and the answer is kept.
    Answer(Stored),
    /// The backend server answered with this status, and the answer is not kept.
    Answered(http::StatusCode),
    /// The request may have run.
    Unknown,
    /// The request did not run; the next one with the same key runs.
    NotRun,
}

/// Complete answer.
#[derive(Debug, Clone)]
pub struct Stored {
    /// Status code of the answer.
    pub status: http::StatusCode,
    /// Header fields of the answer.
    pub headers: http::HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

/// Next step of a request with a key.
pub enum Start {
    /// Run as the first request with the key, and record the end.
    Run(First),
    /// Wait for the end of the running request.
    Join(oneshot::Receiver<End>),
    /// Use the end of the earlier request.
    Ended(End),
}

/// First request with a key, which runs; if dropped before [`First::finish`], the outcome is unknown.
pub struct First {
    records: KeyRecords,
    key: u128,
    ended: bool,
}

impl KeyRecords {
    /// Creates an empty store.
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

    /// Time since the records began.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.shared.started)
    }

    /// Number of recorded keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.state.borrow().records.len()
    }

    /// Whether no key is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total size of the kept answers in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.shared.state.borrow().kept_bytes
    }

    /// Begins a request with `key`; `request` is the hash of its method and path.
    ///
    /// With `recall`, a request without a record is not run.
    ///
    /// # Errors
    /// [`Reason::KeyReused`], [`Reason::KeyNotFound`], [`Reason::KeyNoted`], or [`Reason::KeysFull`]: a
    /// request whose key cannot be recorded is not run.
    pub fn begin(
        &self,
        key: u128,
        request: u64,
        recall: bool,
        now: time::Instant,
    ) -> Result<Start, Refusal> {
        let mut state = self.shared.state.borrow_mut();
        state.expire(now, self.shared.settings.key_window.0);
        match state.find(key) {
            Ok(index) if recall && state.records[index].is_noted() => {
                Err(Refusal::new(Reason::KeyNoted, time::Duration::ZERO))
            }
            Ok(index) => state.records[index].join(request),
            Err(_) if recall => Err(Refusal::new(Reason::KeyNotFound, time::Duration::ZERO)),
            Err(_) if state.records.len() >= self.shared.settings.keys => {
                Err(Refusal::new(Reason::KeysFull, time::Duration::from_secs(1)))
            }
            Err(index) => {
                let progress = Progress::Running(Vec::new());
                state.records.insert(
                    index,
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

    /// Records that the owner with the id `by`, drawn at its start, is about to run the request of the key.
    ///
    /// # Errors
    /// [`Reason::KeyReused`] if the key is already recorded for a request run here or by another owner, or
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
        let index = match state.find(key) {
            Ok(index) if state.records[index].is_noted_by(by) => return Ok(()),
            Ok(_) => return Err(Refusal::new(Reason::KeyReused, time::Duration::ZERO)),
            Err(index) => index,
        };
        if state.records.len() >= self.shared.settings.keys {
            return Err(Refusal::new(Reason::KeysFull, time::Duration::from_secs(1)));
        }
        let progress = Progress::Noted(by);
        state.records.insert(
            index,
            Record {
                key,
                request,
                progress,
            },
        );
        state.ended.push_back((key, now));
        Ok(())
    }

    /// Removes the note of the owner with the id `by`, which has not run the request of the key.
    pub fn withdraw(&self, key: u128, by: u64) {
        let mut state = self.shared.state.borrow_mut();
        if let Ok(index) = state.find(key)
            && state.records[index].is_noted_by(by)
        {
            state.records.remove(index);
            state.ended.retain(|ended| ended.0 != key);
        }
    }

    fn end(&self, key: u128, end: &End, now: time::Instant) {
        let mut state = self.shared.state.borrow_mut();
        let Ok(index) = state.find(key) else {
            return;
        };
        let ended = Progress::Ended(end.clone());
        let before = std::mem::replace(&mut state.records[index].progress, ended);
        if matches!(end, End::NotRun) {
            state.records.remove(index);
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
    fn join(&mut self, request: u64) -> Result<Start, Refusal> {
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

    fn is_noted(&self) -> bool {
        matches!(self.progress, Progress::Noted(_))
    }

    fn is_noted_by(&self, by: u64) -> bool {
        matches!(self.progress, Progress::Noted(noted) if noted == by)
    }
}

impl State {
    fn find(&self, key: u128) -> Result<usize, usize> {
        self.records.binary_search_by_key(&key, |record| record.key)
    }

    /// Removes the keys whose requests ended at least `window` ago.
    fn expire(&mut self, now: time::Instant, window: time::Duration) {
        while let Some((key, ended)) = self.ended.front().copied() {
            if now.saturating_duration_since(ended) < window {
                return;
            }
            self.ended.pop_front();
            if let Ok(index) = self.find(key) {
                self.records.remove(index);
            }
            self.forget_answer(key);
        }
    }

    /// Counts a kept answer; above `limit` bytes, drops the oldest answers but not their keys.
    fn keep(&mut self, key: u128, bytes: usize, limit: usize) {
        self.kept.push_back((key, bytes));
        self.kept_bytes += bytes;
        while self.kept_bytes > limit {
            let Some((oldest, bytes)) = self.kept.pop_front() else {
                return;
            };
            self.kept_bytes -= bytes;
            if let Ok(index) = self.find(oldest) {
                self.records[index].drop_answer();
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
    /// Records the end of the request.
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
