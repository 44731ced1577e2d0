//! Idempotency keys at the owner.

use std::collections::VecDeque;
use std::rc;
use std::time;

use admission::{End, First, Start, Stored};
use bytes::Bytes;
use futures_channel::oneshot;
use http_body_util::BodyExt;
use upstream::Outcome;
use xxhash_rust::xxh3;

use super::owner::{CancelGuard, Execution, Job, Served, build_request};
use super::{Dialect, Headers, Key, Owner, Problem, Reason, ResponseBody, Source};

/// Result of serving a request with a key.
type ServeResult<L, D> = Result<Served<L, D>, Problem>;

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Timeout for notifying the next-ranked owner.
    const NOTE_LIMIT: time::Duration = time::Duration::from_millis(500);
    /// Tolerance when the age of the records is compared with the time that they have to cover.
    const COVER_SLACK: time::Duration = time::Duration::from_millis(1_500);

    /// Runs a request with a key, or returns the result of an earlier run.
    pub(crate) async fn serve_keyed(&self, job: &rc::Rc<Job>) -> ServeResult<L, D> {
        let Some(key) = job.envelope.key.clone() else {
            return self.run(job).await;
        };
        let now = time::Instant::now();
        let hash = key_hash(job, &key);
        let request = request_hash(job);
        // A restart lost records from the time in which the key may have run.
        let records_lost = self.records().age(now) + Self::COVER_SLACK < key.cover;
        if let Some(noting_owner) = key.note {
            if key.recall {
                self.records().withdraw(hash, noting_owner);
                return Ok(noted());
            }
            return self.accept_note(hash, request, noting_owner, records_lost);
        }
        let recall = key.recall || (records_lost && key.backup.is_none());
        let start = match self.records().begin(hash, request, recall, now) {
            Err(refusal) if records_lost && refusal.reason == admission::Reason::KeyNotFound => {
                return Err(Problem::unknown(Reason::KeyUnknown));
            }
            Err(refusal) if refusal.reason == admission::Reason::KeyNoted => {
                return Err(Problem::unknown(Reason::Refused(refusal.reason)));
            }
            other => other?,
        };
        match start {
            Start::Run(first) => self.run_first(job.clone(), first, records_lost).await,
            Start::Join(receiver) => self.join(job, receiver).await,
            Start::Ended(end) => self.answer_from_record(end),
        }
    }

    /// Records that another owner is about to run the request.
    fn accept_note(
        &self,
        hash: u128,
        request: u64,
        noting_owner: u64,
        records_lost: bool,
    ) -> ServeResult<L, D> {
        if records_lost {
            return Err(Problem::unknown(Reason::KeyUnknown));
        }
        let taken = self
            .records()
            .note(hash, request, noting_owner, time::Instant::now());
        match taken {
            Ok(()) => Ok(noted()),
            Err(refusal) if refusal.reason == admission::Reason::KeysFull => Err(refusal.into()),
            Err(_) => Err(Problem::unknown(Reason::KeyUnknown)),
        }
    }

    /// Notifies the next-ranked owner that the request is about to run here.
    ///
    /// That owner takes over the key when this one is gone, and then has to know which requests may
    /// have run. After a restart of this owner, it knows what ran here before. With `withdraw`, an
    /// earlier notification is withdrawn.
    async fn notify_backup(
        &self,
        job: &Job,
        records_lost: bool,
        withdraw: bool,
    ) -> Result<(), Problem> {
        let Some((key, backup)) = backup_of(job) else {
            return Ok(());
        };
        let mut envelope = job.envelope.clone();
        envelope.request.push_str(".n");
        envelope.key = Some(Key {
            recall: withdraw,
            cover: if records_lost {
                key.cover
            } else {
                time::Duration::ZERO
            },
            backup: None,
            note: Some(self.start_id()),
            text: key.text.clone(),
        });
        let mut headers = http::HeaderMap::new();
        Headers::set(&mut headers, Headers::KEY, &key.text);
        envelope.write(&mut headers, time::Instant::now());
        let request = build_request(&job.head, headers, backup, upstream::Feed::empty())?;
        let pool = self.pools().get(backup);
        let sent = pool.send(request, upstream::Patience::Silence);
        let not_noted = Problem::retryable(Reason::Refused(admission::Reason::KeyNotNoted));
        let sent = compio::time::timeout(Self::NOTE_LIMIT, sent).await;
        let reply = sent.map_err(|_| not_noted)?.map_err(|_| not_noted)?;
        match Problem::read(reply.response.headers()) {
            None => Ok(()),
            Some(problem) if problem.outcome == Outcome::Unknown => Err(problem),
            Some(_) => Err(not_noted),
        }
    }

    /// Runs the first request with its key to completion, even if its caller goes away.
    async fn run_first(
        &self,
        job: rc::Rc<Job>,
        first: First,
        records_lost: bool,
    ) -> ServeResult<L, D> {
        let (sender, receiver) = oneshot::channel();
        let owner = self.clone();
        let payload = job.payload.clone();
        compio::runtime::spawn(async move {
            let result = owner.run_recorded(&job, first, records_lost).await;
            let _ = sender.send(result);
        })
        .detach();
        // A caller that goes away ends only the upload; the run continues.
        let guard = CancelGuard::new(self, payload);
        let result = receiver.await;
        guard.disarm();
        result.unwrap_or(Err(Problem::unknown(Reason::KeyUnknown)))
    }

    async fn run_recorded(&self, job: &Job, first: First, records_lost: bool) -> ServeResult<L, D> {
        let deadline = job.envelope.deadline;
        let limit = self.key_answer_limit();
        let notified = self.notify_backup(job, records_lost, false).await;
        let ran = match notified {
            Ok(()) => self.run_notified(job).await,
            Err(problem) => Err(problem),
        };
        let served = match ran {
            Ok(served) => served,
            Err(problem) => {
                let end = match problem.outcome {
                    Outcome::NotRun => End::NotRun,
                    _ => End::Unknown,
                };
                first.finish(&end, time::Instant::now());
                return Err(problem);
            }
        };
        let status = served.parts.status;
        let collected = collect(served, limit, deadline).await;
        let now = time::Instant::now();
        match collected {
            Collected::Complete(parts, body) => {
                let stored = Stored {
                    status,
                    headers: parts.headers.clone(),
                    body: body.clone(),
                };
                first.finish(&End::Answer(stored), now);
                Ok(Served {
                    parts,
                    source: Source::memory(body),
                    observer: None,
                })
            }
            Collected::Unkept(served) => {
                first.finish(&End::Answered(status), now);
                Ok(*served)
            }
            Collected::Broken => {
                first.finish(&End::Unknown, now);
                Err(Problem::unknown(Reason::Failed(upstream::Cause::Broken)))
            }
        }
    }

    /// Runs a request that the next-ranked owner was notified of, and withdraws the notification if
    /// it was not run.
    async fn run_notified(&self, job: &Job) -> ServeResult<L, D> {
        let ran = self.run(job).await;
        let not_run = |problem: &Problem| problem.outcome == Outcome::NotRun;
        if ran.as_ref().is_err_and(not_run)
            && let Err(problem) = self.notify_backup(job, false, true).await
        {
            // The note that remains only makes the outcome of the key unknown there.
            log::debug!(reason = problem.reason.as_str(); "failed to withdraw the note of a key");
        }
        ran
    }

    async fn join(&self, job: &Job, receiver: oneshot::Receiver<End>) -> ServeResult<L, D> {
        let waited = compio::time::timeout_at(job.envelope.deadline, receiver).await;
        match waited {
            Ok(Ok(end)) => self.answer_from_record(end),
            Ok(Err(_)) => Err(Problem::unknown(Reason::KeyUnknown)),
            Err(_) => Err(Problem::unknown(Reason::Deadline)),
        }
    }

    /// Answers a resend with the result of the first request with its key.
    fn answer_from_record(&self, end: End) -> ServeResult<L, D> {
        self.count(|counts| counts.joined += 1);
        match end {
            End::Answer(stored) => {
                let mut answer = http::Response::new(());
                *answer.status_mut() = stored.status;
                *answer.headers_mut() = stored.headers;
                Ok(Served {
                    parts: answer.into_parts().0,
                    source: Source::memory(stored.body),
                    observer: None,
                })
            }
            End::Answered(_) => Err(Problem {
                outcome: Outcome::Ran,
                retry_after: None,
                ..Problem::unknown(Reason::KeyAnswered)
            }),
            End::Unknown => Err(Problem {
                retry_after: None,
                ..Problem::unknown(Reason::KeyUnknown)
            }),
            End::NotRun => Err(Problem::retryable(Reason::KeyUnknown)),
        }
    }
}

/// Result of collecting a response.
enum Collected<L, D> {
    Complete(http::response::Parts, Bytes),
    /// The response exceeds the limit, or nothing tells whether it is whole; the collected part precedes
    /// the rest.
    Unkept(Box<Served<L, D>>),
    Broken,
}

/// Collects up to `limit` bytes of the response.
async fn collect<L: peer::Link, D: Dialect>(
    served: Served<L, D>,
    limit: usize,
    deadline: time::Instant,
) -> Collected<L, D> {
    if served.parts.headers.contains_key(Headers::UNFRAMED) {
        return Collected::Unkept(Box::new(served));
    }
    let Served {
        parts,
        source,
        observer,
    } = served;
    let mut body: ResponseBody<Execution<L, D>> = ResponseBody::new(source, observer, deadline);
    let mut chunks = VecDeque::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Collected::Broken;
        };
        // Trailers are not recorded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        chunks.push_back(data);
        if length > limit {
            let (rest, observer) = body.into_parts();
            return Collected::Unkept(Box::new(Served {
                parts,
                source: Source::Chained(chunks, Box::new(rest)),
                observer,
            }));
        }
    }
    Collected::Complete(parts, join_chunks(chunks, length))
}

fn join_chunks(mut chunks: VecDeque<Bytes>, length: usize) -> Bytes {
    if chunks.len() == 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut whole = Vec::with_capacity(length);
    for chunk in chunks {
        whole.extend_from_slice(&chunk);
    }
    whole.into()
}

/// Builds the response to the note of another owner.
fn noted<L, D>() -> Served<L, D> {
    let mut parts = http::Response::new(()).into_parts().0;
    Headers::set(&mut parts.headers, Headers::OUTCOME, Outcome::Ran.as_str());
    Served {
        parts,
        source: Source::memory(Bytes::new()),
        observer: None,
    }
}

/// Returns the key of a request and the owner that is notified before it runs.
fn backup_of(job: &Job) -> Option<(&Key, units::Address)> {
    let key = job.envelope.key.as_ref()?;
    Some((key, key.backup?))
}

/// Hashes the service and the key.
fn key_hash(job: &Job, key: &Key) -> u128 {
    let mut text = job.envelope.service.clone();
    text.push('\n');
    text.push_str(&key.text);
    xxh3::xxh3_128(text.as_bytes())
}

/// Hashes the parts that a resend has to share with the first request.
fn request_hash(job: &Job) -> u64 {
    let path = job
        .head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let method = job.head.method.as_str();
    let seed = xxh3::xxh3_64(method.as_bytes());
    xxh3::xxh3_64_with_seed(path.as_bytes(), seed)
}
