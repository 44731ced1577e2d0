//! Requests with idempotency keys at the ingress.

use std::time;

use compact_str::CompactString;
use routing::Observer;
use upstream::Outcome;

use super::selection::Past;
use super::trail::Trail;
use super::{Answer, Arrival, Dialect, Ingress, Journey, Key, Problem, Reason, Target};

/// What the owners know that may have run a request before.
enum Known<L, O: Observer, D: Dialect> {
    /// None has begun to run it.
    Nothing,
    /// An owner has begun to run it, and told the one that was asked.
    Begun,
    /// Whoever may have run it can no longer be asked.
    Gone,
    /// The end of its run.
    Ended(Box<Result<Answer<L, O, D>, Problem>>),
}

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Runs a request with an idempotency key at the owner that keeps the key's record.
    ///
    /// Owners that may have run it before are asked first, unless the caller says that it sends it
    /// for the first time. Where none of them can be asked, it is not run.
    pub(super) async fn run_keyed(
        &self,
        arrival: &Arrival,
        key: &CompactString,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        let home = self.home(arrival, key)?;
        let first = arrival.key_attempt == Some(1);
        let mut recall = arrival.key_attempt.is_some_and(|attempt| attempt > 1);
        let mut attempts = 0;
        let past = if first { &[][..] } else { &home.past };
        for past in past {
            match self
                .ask_past(arrival, key, past, &mut attempts, journey)
                .await
            {
                Known::Nothing => {}
                Known::Begun => recall = true,
                Known::Gone => return Err(Problem::unknown(Reason::KeyUnknown)),
                Known::Ended(ended) => return *ended,
            }
        }
        let age = time::Instant::now().saturating_duration_since(home.joined);
        let cover = if first { time::Duration::ZERO } else { age };
        let wanted = Key {
            recall,
            backup: home.backup.as_ref().map(|backup| backup.endpoint.address),
            ..Key::run(key, cover)
        };
        attempts += 1;
        let ended = self
            .attempt_key(arrival, &home.target, wanted, attempts, journey)
            .await;
        let Err(problem) = ended else {
            return ended;
        };
        let unrecorded = recall && is(&problem, admission::Reason::KeyNotFound);
        let unreached = first && problem.outcome == Outcome::NotRun && !problem.reason.is_final();
        if unrecorded {
            return self
                .recall_backup(arrival, key, home.backup.as_ref(), attempts, journey)
                .await;
        }
        match &home.backup {
            // A resend is never run without a record, so that it may run here for the first time.
            Some(backup)
                if unreached
                    && self.may_retry(
                        arrival,
                        &Trail::reached(attempts),
                        problem.outcome.max(journey.outcome()),
                        attempts,
                    ) =>
            {
                let wanted = Key::run(key, time::Duration::ZERO);
                self.attempt_key(arrival, backup, wanted, attempts + 1, journey)
                    .await
            }
            _ => Err(problem),
        }
    }

    /// Asks the next-ranked owner, which runs first sendings that the first one cannot take.
    async fn recall_backup(
        &self,
        arrival: &Arrival,
        key: &CompactString,
        backup: Option<&Target>,
        attempts: u32,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        let unknown = Problem::unknown(Reason::KeyUnknown);
        let backup = backup.ok_or(unknown)?;
        let wanted = Key::recall(key, time::Duration::ZERO);
        match self
            .attempt_key(arrival, backup, wanted, attempts + 1, journey)
            .await
        {
            Err(problem) if problem.outcome == Outcome::NotRun => Err(unknown),
            ended => ended,
        }
    }

    /// Asks an owner that may have run the request before, or the one that it told of its keys.
    async fn ask_past(
        &self,
        arrival: &Arrival,
        key: &CompactString,
        past: &Past,
        attempts: &mut u32,
        journey: &Journey,
    ) -> Known<L, O, D> {
        for (target, joined) in &past.targets {
            *attempts += 1;
            let cover = time::Instant::now().saturating_duration_since(*joined);
            let wanted = Key::recall(key, cover);
            let asked = self
                .attempt_key(arrival, target, wanted, *attempts, journey)
                .await;
            return match asked {
                Err(problem) if is(&problem, admission::Reason::KeyNotFound) => Known::Nothing,
                Err(problem) if is(&problem, admission::Reason::KeyNoted) => Known::Begun,
                // It could not be asked.
                Err(problem)
                    if problem.outcome == Outcome::NotRun && !problem.reason.is_final() =>
                {
                    continue;
                }
                ended => Known::Ended(Box::new(ended)),
            };
        }
        if past.told_home {
            Known::Nothing
        } else {
            Known::Gone
        }
    }

    async fn attempt_key(
        &self,
        arrival: &Arrival,
        target: &Target,
        key: Key,
        attempts: u32,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        let window = self.shared.context.settings.choice.key_window.0;
        let cover = key.cover.min(window);
        let key = Some(Key { cover, ..key });
        let target = target.again();
        let envelope = self.envelope(arrival, &target.endpoint, attempts, &Trail::default(), key);
        self.attempt(arrival, target, envelope, journey).await
    }
}

fn is(problem: &Problem, reason: admission::Reason) -> bool {
    problem.reason.is(Reason::Refused(reason))
}
