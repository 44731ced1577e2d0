//! Requests with idempotency keys at the owner.

use std::collections::VecDeque;
use std::rc;
use std::time;

use admission::{End, First, Start, Stored};
use bytes::Bytes;
use futures_channel::oneshot;
use http_body_util::BodyExt;
use upstream::Outcome;
use xxhash_rust::xxh3;

use super::owner::{Cancel, Job, Served, Serving, build};
use super::{Dialect, Download, Headers, Key, Owner, Problem, Reason, Source};

/// What the first request with a key hands to its caller.
type Given<L, D> = Result<Served<L, D>, Problem>;

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Longest time that telling the next-ranked owner may take.
    const NOTE_LIMIT: time::Duration = time::Duration::from_millis(500);
    /// Slack in the comparison of the records' age with what they have to cover.
    const COVER_SLACK: time::Duration = time::Duration::from_millis(1_500);

    /// Runs a request with a key, or gives the end of the one that ran.
    pub(crate) async fn serve_keyed(&self, job: &rc::Rc<Job>) -> Given<L, D> {
        let Some(key) = job.envelope.key.clone() else {
            return self.run(job).await;
        };
        let now = time::Instant::now();
        let hash = key_hash(job, &key);
        let request = request_hash(job);
        // Records were lost in a restart, within the time in which the key may have run.
        let lost = self.records().age(now) + Self::COVER_SLACK < key.cover;
        if let Some(by) = key.note {
            if key.recall {
                self.records().withdraw(hash, by);
                return Ok(noted());
            }
            return self.take_note(hash, request, by, lost);
        }
        let recall = key.recall || (lost && key.backup.is_none());
        let start = match self.records().begin(hash, request, recall, now) {
            Err(refusal) if lost && refusal.reason == admission::Reason::KeyNotFound => {
                return Err(Problem::unknown(Reason::KeyUnknown));
            }
            Err(refusal) if refusal.reason == admission::Reason::KeyNoted => {
                return Err(Problem::unknown(Reason::Refused(refusal.reason)));
            }
            other => other?,
        };
        match start {
            Start::Run(first) => self.run_first(job.clone(), first, lost).await,
            Start::Join(receiver) => self.join(job, receiver).await,
            Start::Ended(end) => self.give(end),
        }
    }

    /// Another owner is about to run the request.
    fn take_note(&self, hash: u128, request: u64, by: u64, lost: bool) -> Given<L, D> {
        if lost {
            return Err(Problem::unknown(Reason::KeyUnknown));
        }
        let taken = self.records().note(hash, request, by, time::Instant::now());
        match taken {
            Ok(()) => Ok(noted()),
            Err(refusal) if refusal.reason == admission::Reason::KeysFull => Err(refusal.into()),
            Err(_) => Err(Problem::unknown(Reason::KeyUnknown)),
        }
    }

    /// Tells the next-ranked owner that the request is about to run here.
    ///
    /// That owner runs the key when this one is gone, and then has to know what may have run. After
    /// a restart of this owner it knows what ran here before.
    /// With `withdraw` it takes that back.
    async fn tell_backup(&self, job: &Job, lost: bool, withdraw: bool) -> Result<(), Problem> {
        let Some((key, backup)) = backup_of(job) else {
            return Ok(());
        };
        let mut envelope = job.envelope.clone();
        envelope.request.push_str(".n");
        envelope.key = Some(Key {
            recall: withdraw,
            cover: if lost {
                key.cover
            } else {
                time::Duration::ZERO
            },
            backup: None,
            note: Some(self.life()),
            text: key.text.clone(),
        });
        let mut headers = http::HeaderMap::new();
        Headers::set(&mut headers, Headers::KEY, &key.text);
        envelope.write(&mut headers, time::Instant::now());
        let request = build(&job.head, headers, backup, upstream::Feed::empty())?;
        let pool = self.pools().get(backup);
        let sent = pool.send(request);
        let unreached = Problem::later(Reason::Refused(admission::Reason::KeyNotNoted));
        let told = compio::time::timeout(Self::NOTE_LIMIT, sent).await;
        let reply = told.map_err(|_| unreached)?.map_err(|_| unreached)?;
        match Problem::read(reply.response.headers()) {
            None => Ok(()),
            Some(problem) if problem.outcome == Outcome::Unknown => Err(problem),
            Some(_) => Err(unreached),
        }
    }

    /// Runs the first request with its key to its end, even when its caller goes away.
    async fn run_first(&self, job: rc::Rc<Job>, first: First, lost: bool) -> Given<L, D> {
        let (sender, receiver) = oneshot::channel();
        let owner = self.clone();
        let payload = job.payload.clone();
        compio::runtime::spawn(async move {
            let given = owner.run_recorded(&job, first, lost).await;
            let _ = sender.send(given);
        })
        .detach();
        // Only the upload ends with its caller; the run itself goes on.
        let guard = Cancel::new(self, payload);
        let given = receiver.await;
        guard.disarm();
        given.unwrap_or(Err(Problem::unknown(Reason::KeyUnknown)))
    }

    async fn run_recorded(&self, job: &Job, first: First, lost: bool) -> Given<L, D> {
        let deadline = job.envelope.deadline;
        let limit = self.key_answer_limit();
        let told = self.tell_backup(job, lost, false).await;
        let ran = match told {
            Ok(()) => self.run_told(job).await,
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
            Collected::Whole(parts, body) => {
                let stored = Stored {
                    status,
                    headers: parts.headers.clone(),
                    body: body.clone(),
                };
                first.finish(&End::Answer(stored), now);
                Ok(Served {
                    parts,
                    source: Source::memory(body),
                    watch: None,
                })
            }
            Collected::Long(served) => {
                first.finish(&End::Answered(status), now);
                Ok(served)
            }
            Collected::Broken => {
                first.finish(&End::Unknown, now);
                Err(Problem::unknown(Reason::Failed(upstream::Cause::Broken)))
            }
        }
    }

    /// Runs a request that the next-ranked owner knows of, and tells it when it was not run.
    async fn run_told(&self, job: &Job) -> Given<L, D> {
        let ran = self.run(job).await;
        let not_run = |problem: &Problem| problem.outcome == Outcome::NotRun;
        if ran.as_ref().is_err_and(not_run)
            && let Err(problem) = self.tell_backup(job, false, true).await
        {
            // The note stays, which only makes the key's outcome unknown there.
            log::debug!(reason = problem.reason.as_str(); "a note of a key is not withdrawn");
        }
        ran
    }

    async fn join(&self, job: &Job, receiver: oneshot::Receiver<End>) -> Given<L, D> {
        let waited = compio::time::timeout_at(job.envelope.deadline, receiver).await;
        match waited {
            Ok(Ok(end)) => self.give(end),
            Ok(Err(_)) => Err(Problem::unknown(Reason::KeyUnknown)),
            Err(_) => Err(Problem::unknown(Reason::Deadline)),
        }
    }

    /// Gives a resend the end of the first request with its key.
    fn give(&self, end: End) -> Given<L, D> {
        self.count(|counts| counts.joined += 1);
        match end {
            End::Answer(stored) => {
                let mut answer = http::Response::new(());
                *answer.status_mut() = stored.status;
                *answer.headers_mut() = stored.headers;
                Ok(Served {
                    parts: answer.into_parts().0,
                    source: Source::memory(stored.body),
                    watch: None,
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
            End::NotRun => Err(Problem::later(Reason::KeyUnknown)),
        }
    }
}

/// An answer, as far as it was collected.
enum Collected<L, D> {
    Whole(http::response::Parts, Bytes),
    /// It is longer than the limit; what was collected comes before the rest.
    Long(Served<L, D>),
    Broken,
}

/// Collects up to `limit` bytes of the answer.
async fn collect<L: peer::Link, D: Dialect>(
    served: Served<L, D>,
    limit: usize,
    deadline: time::Instant,
) -> Collected<L, D> {
    let Served {
        parts,
        source,
        watch,
    } = served;
    let mut download: Download<Serving<L, D>> = Download::new(source, watch, deadline);
    let mut chunks = VecDeque::new();
    let mut length = 0;
    while let Some(frame) = download.frame().await {
        let Ok(frame) = frame else {
            return Collected::Broken;
        };
        // Trailers are not kept.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        chunks.push_back(data);
        if length > limit {
            let (rest, watch) = download.into_parts();
            return Collected::Long(Served {
                parts,
                source: Source::Chained(chunks, Box::new(rest)),
                watch,
            });
        }
    }
    Collected::Whole(parts, join_chunks(chunks, length))
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

/// The answer to another owner's note.
fn noted<L, D>() -> Served<L, D> {
    let mut parts = http::Response::new(()).into_parts().0;
    Headers::set(&mut parts.headers, Headers::OUTCOME, Outcome::Ran.as_str());
    Served {
        parts,
        source: Source::memory(Bytes::new()),
        watch: None,
    }
}

/// The key of a request, and the owner that is told before it runs.
fn backup_of(job: &Job) -> Option<(&Key, units::Address)> {
    let key = job.envelope.key.as_ref()?;
    Some((key, key.backup?))
}

/// Hash of the service and the key.
fn key_hash(job: &Job, key: &Key) -> u128 {
    let mut text = job.envelope.service.clone();
    text.push('\n');
    text.push_str(&key.text);
    xxh3::xxh3_128(text.as_bytes())
}

/// Hash of what a resend has to share with the first request.
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
