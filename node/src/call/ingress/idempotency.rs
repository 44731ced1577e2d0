//! Idempotency keys at the ingress.

use std::time;

use compact_str::CompactString;
use routing::Observer;
use upstream::Outcome;

use super::history::History;
use super::selection::PreviousOwner;
use super::{Answer, Arrival, Dialect, Ingress, Key, Problem, Progress, Reason, Target};

/// Knowledge of previous owners about an earlier run of a request.
enum EarlierRun<L, O: Observer, D: Dialect> {
    /// No previous owner has started to run the request.
    NotFound,
    /// A previous owner has started to run the request and has notified the owner that was asked.
    Started,
    /// The owner that may have run the request can no longer be asked.
    Unreachable,
    /// Result of the earlier run.
    Finished(Box<Result<Answer<L, O, D>, Problem>>),
}

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Runs a request with an idempotency key at the owner that keeps the key's record.
    ///
    /// Previous owners that may have run the request are asked first, unless the caller says that
    /// it sends the request for the first time. If none of them can be asked, the request is not
    /// run.
    pub(super) async fn run_keyed(
        &self,
        arrival: &Arrival,
        key: &CompactString,
        progress: &Progress,
    ) -> Result<Answer<L, O, D>, Problem> {
        let owner = self.key_owner(arrival, key)?;
        let first = arrival.key_attempt == Some(1);
        let mut recall = arrival.key_attempt.is_some_and(|attempt| attempt > 1);
        let mut attempts = 0;
        let previous_owners = if first { &[][..] } else { &owner.previous };
        for previous in previous_owners {
            match self
                .recall_previous(arrival, key, previous, &mut attempts, progress)
                .await
            {
                EarlierRun::NotFound => {}
                EarlierRun::Started => recall = true,
                EarlierRun::Unreachable => return Err(Problem::unknown(Reason::KeyUnknown)),
                EarlierRun::Finished(result) => return *result,
            }
        }
        let age = time::Instant::now().saturating_duration_since(owner.joined);
        let cover = if first { time::Duration::ZERO } else { age };
        let sent_key = Key {
            recall,
            backup: owner.backup.as_ref().map(|backup| backup.endpoint.address),
            ..Key::run(key, cover)
        };
        attempts += 1;
        let result = self
            .attempt_key(arrival, &owner.target, sent_key, attempts, progress)
            .await;
        let Err(problem) = result else {
            return result;
        };
        let is_unrecorded = recall && is_refused_with(&problem, admission::Reason::KeyNotFound);
        let is_unreached =
            first && problem.outcome == Outcome::NotRun && !problem.reason.is_final();
        if is_unrecorded {
            return self
                .recall_backup(arrival, key, owner.backup.as_ref(), attempts, progress)
                .await;
        }
        match &owner.backup {
            // Resends are never run without a record, so the first send may run here.
            Some(backup)
                if is_unreached
                    && self.may_retry(
                        arrival,
                        &History::reached(attempts),
                        problem.outcome.max(progress.outcome()),
                        attempts,
                    ) =>
            {
                let sent_key = Key::run(key, time::Duration::ZERO);
                self.attempt_key(arrival, backup, sent_key, attempts + 1, progress)
                    .await
            }
            _ => Err(problem),
        }
    }

    /// Asks the next-ranked owner, which runs requests sent for the first time that the
    /// first-ranked one cannot take.
    async fn recall_backup(
        &self,
        arrival: &Arrival,
        key: &CompactString,
        backup: Option<&Target>,
        attempts: u32,
        progress: &Progress,
    ) -> Result<Answer<L, O, D>, Problem> {
        let unknown = Problem::unknown(Reason::KeyUnknown);
        let backup = backup.ok_or(unknown)?;
        let sent_key = Key::recall(key, time::Duration::ZERO);
        match self
            .attempt_key(arrival, backup, sent_key, attempts + 1, progress)
            .await
        {
            Err(problem) if problem.outcome == Outcome::NotRun => Err(unknown),
            result => result,
        }
    }

    /// Asks a previous owner, or the owner that it notified of its keys.
    async fn recall_previous(
        &self,
        arrival: &Arrival,
        key: &CompactString,
        previous: &PreviousOwner,
        attempts: &mut u32,
        progress: &Progress,
    ) -> EarlierRun<L, O, D> {
        for (target, joined) in &previous.targets {
            *attempts += 1;
            let cover = time::Instant::now().saturating_duration_since(*joined);
            let sent_key = Key::recall(key, cover);
            let result = self
                .attempt_key(arrival, target, sent_key, *attempts, progress)
                .await;
            return match result {
                Err(problem) if is_refused_with(&problem, admission::Reason::KeyNotFound) => {
                    EarlierRun::NotFound
                }
                Err(problem) if is_refused_with(&problem, admission::Reason::KeyNoted) => {
                    EarlierRun::Started
                }
                // The owner could not be asked.
                Err(problem)
                    if problem.outcome == Outcome::NotRun && !problem.reason.is_final() =>
                {
                    continue;
                }
                result => EarlierRun::Finished(Box::new(result)),
            };
        }
        if previous.has_notified_owner {
            EarlierRun::NotFound
        } else {
            EarlierRun::Unreachable
        }
    }

    async fn attempt_key(
        &self,
        arrival: &Arrival,
        target: &Target,
        key: Key,
        attempts: u32,
        progress: &Progress,
    ) -> Result<Answer<L, O, D>, Problem> {
        let window = self.shared.context.settings.choice.key_window.0;
        let cover = key.cover.min(window);
        let key = Some(Key { cover, ..key });
        let target = target.duplicate();
        let envelope = self.envelope(
            arrival,
            &target.endpoint,
            attempts,
            &History::default(),
            key,
        );
        self.attempt(arrival, target, envelope, progress).await
    }
}

fn is_refused_with(problem: &Problem, reason: admission::Reason) -> bool {
    problem.reason.is(Reason::Refused(reason))
}
