//! Runner of one move, active while this node holds the lease of the shard.

use std::rc;
use std::time;

use compact_str::{CompactString, format_compact};
use config::{Change, Put, Service, Weight};
use distribution::{Accepted, Command, Verdict};
use futures_channel::oneshot;

use crate::fleets::Fleets;
use crate::run::Run;
use crate::shared::Shared;
use crate::tenure::Tenure;
use crate::writer::{RETRY_BACKOFF, WriteError, Writer};
use crate::{Action, Facts, Id, Policy, Record, State, shares};

/// Maximum interval between decisions.
const MAX_TICK: time::Duration = time::Duration::from_millis(200);
/// Maximum wait for the verdict on a configuration change.
const VERDICT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Runner of one move while this node holds the lease of the shard.
struct Runner<S, L> {
    writer: Writer<S, L>,
    /// Fencing token of this runner's claim.
    fence: u64,
    fleets: Fleets,
    /// Configuration version that this node has to hold before the next decision.
    awaited_version: units::Version,
}

/// Progress of the service's weights towards those of the current step.
enum Progress {
    /// This node's configuration is older than the last change accepted for the move.
    Behind,
    /// The weights match, at this revision of the service.
    Reached(units::Version),
    /// The change of the current step has not taken effect yet.
    Pending(units::Version),
    /// An operator has set other shares, or removed the service.
    Overridden,
}

/// Runs the move with `id` until the move or `tenure` ends.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, tenure: rc::Rc<Tenure>, id: Id)
where
    S: platform::Store,
    L: peer::Link,
{
    let Some(writer) = Writer::open(shared, tenure, &id) else {
        return;
    };
    let mut runner = Runner {
        writer,
        fence: 0,
        fleets: Fleets::default(),
        awaited_version: units::Version::default(),
    };
    let error = runner.drive().await;
    log::debug!(id:% = id, failed:? = error; "move runner stopped");
}

impl<S: platform::Store, L: peer::Link> Runner<S, L> {
    /// Claims the move and takes its steps; returns when this runner has no more work.
    async fn drive(&mut self) -> WriteError {
        let mut claimed = self.claim().await;
        while claimed == Err(WriteError::Changed) {
            claimed = self.claim().await;
        }
        if let Err(error) = claimed {
            return error;
        }
        let tick = self.shared().parts.settings.report.0.min(MAX_TICK);
        loop {
            self.writer.refresh();
            if self.record().fence != self.fence {
                return WriteError::Lapsed;
            }
            let advanced = match self.record().state {
                State::Running => self.advance().await,
                State::TakingBack => self.take_back().await,
                State::Done | State::TakenBack => return WriteError::Gone,
            };
            match advanced {
                Ok(()) | Err(WriteError::Changed) => {}
                Err(error) => return error,
            }
            if self.writer.tenure.has_ended() {
                return WriteError::Lapsed;
            }
            if !self.record().is_ended() {
                compio::time::sleep(tick).await;
            }
        }
    }

    /// Records this node as the runner, so that later writes of an earlier runner fail.
    async fn claim(&mut self) -> Result<(), WriteError> {
        if self.record().is_ended() {
            return Err(WriteError::Gone);
        }
        let node = self.shared().parts.node.clone();
        let claimed = self.writer.write(|record| {
            record.runner = Some(node);
            record.fence += 1;
        });
        claimed.await?;
        self.fence = self.record().fence;
        self.shared().tally.claims.add(1);
        self.open_run();
        Ok(())
    }

    /// Creates the policy of the move, unless one is left from an earlier claim under this lease.
    fn open_run(&self) {
        let record = self.record();
        let mut runs = self.shared().runs.borrow_mut();
        let Err(position) = runs.binary_search_by(|run| run.id.cmp(&record.id)) else {
            return;
        };
        let (wall, now) = (units::Wall::now(), time::Instant::now());
        let deadline = now + record.deadline.since(wall);
        let past = wall.since(record.deadline);
        let deadline = deadline.checked_sub(past).unwrap_or(deadline);
        let since = now
            .checked_sub(wall.since(record.step_since))
            .unwrap_or(now);
        let settings = &self.shared().parts.settings;
        // The judges of the data centres get the other half of the allowed wrong alarms.
        let alpha = settings.alpha() / 2.0;
        let policy = Policy::new(settings, alpha, deadline, record.step, since, now);
        let run = Run {
            id: record.id.clone(),
            policy,
            hold_reason: CompactString::default(),
        };
        runs.insert(position, run);
    }

    /// Decides on the next action of a running move and carries it out.
    async fn advance(&mut self) -> Result<(), WriteError> {
        if let Some(reason) = self.shared().alarm(&self.record().id) {
            return self.begin_taking_back(reason, false).await;
        }
        match self.progress() {
            Progress::Behind => Ok(()),
            Progress::Overridden => {
                let reason = CompactString::const_new("an operator has changed the service");
                self.begin_taking_back(reason, true).await
            }
            Progress::Pending(revision) => self.apply_step(revision).await,
            Progress::Reached(revision) => match self.decide() {
                Action::Hold(_) => Ok(()),
                Action::Step(phase) => self.begin_step(phase, revision).await,
                Action::TakeBack(reason) => self.begin_taking_back(reason, false).await,
                Action::Done => self.end(State::Done).await,
            },
        }
    }

    fn progress(&self) -> Progress {
        let snapshot = self.shared().parts.holder.get();
        let record = self.record();
        if snapshot.version() < self.awaited_version || snapshot.version() < record.accepted {
            return Progress::Behind;
        }
        let Some(service) = snapshot.service(record.service()) else {
            return Progress::Overridden;
        };
        let wanted = record.weights(self.share_of(record.step));
        if shares::are_same(&service.weights, &wanted) {
            Progress::Reached(service.revision)
        } else if service.revision <= record.accepted {
            Progress::Pending(service.revision)
        } else {
            Progress::Overridden
        }
    }

    fn decide(&mut self) -> Action {
        let now = time::Instant::now();
        let record = self.writer.record.clone();
        let view = self.shared().parts.members.get();
        let shared = self.shared().clone();
        let (change, ready) = {
            let index = shared.index();
            let change = self.fleets.update(&record, &view, &index, now);
            (change, index.ready(record.service(), &record.to))
        };
        let facts = Facts { slots: ready.slots };
        let mut runs = shared.runs.borrow_mut();
        let Ok(position) = runs.binary_search_by(|run| run.id.cmp(&record.id)) else {
            return Action::Hold(CompactString::default());
        };
        let run = &mut runs[position];
        if run.policy.phase() != record.step {
            run.policy.begin(record.step, now);
        }
        let judge = run.policy.judge_mut();
        if change.is_started {
            judge.warm_up(now);
        }
        judge.absorb_fleets(change.old, change.new, change.elapsed);
        let action = run.policy.decide(now, facts);
        run.hold_reason = match &action {
            Action::Hold(reason) => reason.clone(),
            _ => CompactString::default(),
        };
        action
    }

    /// Writes the intent of a step, which precedes the configuration change.
    async fn begin_step(
        &mut self,
        phase: usize,
        revision: units::Version,
    ) -> Result<(), WriteError> {
        let is_upward = phase > self.record().step;
        self.writer
            .write(|record| {
                record.step = phase;
                record.step_since = units::Wall::now();
                record.accepted = revision;
            })
            .await?;
        if is_upward {
            self.shared().tally.steps.add(1);
        }
        Ok(())
    }

    /// Makes the configuration change of the current step.
    async fn apply_step(&mut self, revision: units::Version) -> Result<(), WriteError> {
        let record = self.record();
        let (service, version) = (record.service(), record.to.as_str());
        if self.shared().parts.withheld.contains(service, version) {
            self.shared().tally.late_steps.add(1);
            log::error!(id:% = record.id; "invariant violated: a withheld version was about to get a larger share");
            let reason = CompactString::const_new("the new version is withheld");
            return self.begin_taking_back(reason, false).await;
        }
        let weights = record.weights(self.share_of(record.step));
        let purpose = format_compact!("{:016x}", record.nonce);
        match self.submit_weights(&purpose, weights, revision).await {
            Verdict::Accepted(Accepted { version }) => {
                self.awaited_version = version;
                Ok(())
            }
            Verdict::Refused(findings) => {
                let reason = format_compact!("the change to the shares was refused: {findings}");
                self.begin_taking_back(reason, false).await
            }
            // After a conflict, the newer configuration decides; other changes are retried.
            _ => {
                compio::time::sleep(RETRY_BACKOFF).await;
                Ok(())
            }
        }
    }

    /// Writes the decision to take the new version back.
    async fn begin_taking_back(
        &mut self,
        reason: CompactString,
        overridden: bool,
    ) -> Result<(), WriteError> {
        let back = self.writer.write(|record| {
            record.state = State::TakingBack;
            record.reason = reason;
            record.overridden = overridden;
        });
        back.await
    }

    /// Restores the old version's share, then writes the end.
    async fn take_back(&mut self) -> Result<(), WriteError> {
        // Until the intent of the first step is written, no change can be in flight.
        if self.record().step > 0 && !self.record().overridden && !self.restore().await? {
            return Ok(());
        }
        self.end(State::TakenBack).await
    }

    /// Restores the shares from before the move; `true` once they are restored, or overridden by an
    /// operator.
    ///
    /// The change is made even if the shares look right already: it raises the revision of the
    /// service, so that a step of an earlier runner that is still in flight is refused.
    async fn restore(&mut self) -> Result<bool, WriteError> {
        let snapshot = self.shared().parts.holder.get();
        let record = self.record();
        if snapshot.version() < record.accepted {
            return Ok(false);
        }
        let service = snapshot.service(record.service());
        let Some(service) = service.filter(|service| self.is_set_by_move(service)) else {
            self.writer.write(|record| record.overridden = true).await?;
            return Ok(true);
        };
        let (weights, revision) = (record.original.clone(), service.revision);
        match self.submit_weights("back", weights, revision).await {
            Verdict::Accepted(_) => Ok(true),
            Verdict::Refused(findings) => {
                log::error!(id:% = self.record().id, findings:% = findings; "failed to restore the original shares");
                self.writer.write(|record| record.overridden = true).await?;
                Ok(true)
            }
            _ => {
                compio::time::sleep(RETRY_BACKOFF).await;
                Ok(false)
            }
        }
    }

    /// Whether the shares of `service` are those of one of the move's steps.
    fn is_set_by_move(&self, service: &Service) -> bool {
        let record = self.record();
        let last = self.shared().parts.settings.steps.len();
        (0..=last).any(|step| {
            let weights = record.weights(self.share_of(step));
            shares::are_same(&service.weights, &weights)
        })
    }

    async fn end(&mut self, state: State) -> Result<(), WriteError> {
        let ended = self.writer.write(|record| {
            record.state = state;
            record.ended = Some(units::Wall::now());
        });
        ended.await?;
        let tally = &self.shared().tally;
        match state {
            State::Done => tally.done.add(1),
            _ => tally.taken_back.add(1),
        }
        let record = self.record();
        log::info!(id:% = record.id, state:? = record.state, reason:% = record.reason; "move ended");
        Ok(())
    }

    /// Submits a change of the service's weights, conditional on the revision `held`.
    async fn submit_weights(
        &self,
        purpose: &str,
        weights: Vec<Weight>,
        held: units::Version,
    ) -> Verdict {
        let record = self.record();
        let Ok(operation) = record.id.operation(purpose) else {
            return Verdict::Unavailable;
        };
        let snapshot = self.shared().parts.holder.get();
        let service = Service {
            name: record.service().into(),
            weights,
            revision: units::Version::default(),
            ..snapshot
                .service(record.service())
                .cloned()
                .unwrap_or_default()
        };
        let change = Change {
            operation,
            puts: vec![Put::Service(service, Some(held))],
            removes: Vec::new(),
            author: format_compact!("move {}", record.id),
        };
        let (answer, verdict) = oneshot::channel();
        let command = Command::Accept {
            change,
            dry_run: false,
            answer,
        };
        if !self.writer.tenure.is_held() || self.shared().parts.distribution.send(command).is_err()
        {
            return Verdict::Unavailable;
        }
        let verdict = compio::time::timeout(VERDICT_TIMEOUT, verdict).await;
        verdict
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Verdict::Unknown)
    }

    /// Share of the new version in the phase `step` of the plan.
    fn share_of(&self, step: usize) -> units::Share {
        let steps = &self.shared().parts.settings.steps;
        match step.checked_sub(1) {
            None => units::Share::NONE,
            Some(index) => steps.get(index).copied().unwrap_or(units::Share::WHOLE),
        }
    }

    fn record(&self) -> &Record {
        &self.writer.record
    }

    fn shared(&self) -> &rc::Rc<Shared<S, L>> {
        &self.writer.shared
    }
}
