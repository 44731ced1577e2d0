//! Reports about moves between nodes.

use std::rc;
use std::time;

use compact_str::CompactString;
use platform::Store;
use prost::Message;
use schema::moves as wire;

use super::service::Shared;
use super::{NAME, Source};

impl<S: Store, L: peer::Link, O: Source> Shared<S, L, O> {
    /// Time limit for the answer to a report.
    const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
    /// Nodes in one batch of notifications of a bad version.
    const NOTIFY_BATCH: usize = 32;

    /// Withholds the new version of a move of `service` on this node and notifies the other nodes.
    pub(super) fn withhold_and_notify(self: &rc::Rc<Self>, service: &CompactString) {
        let node = &self.parts.node;
        let found = self.with_trial(service, |trial| {
            let report = trial.report(node, self.start_id);
            (trial.order.clone(), report, trial.observations().total())
        });
        let Some((order, report, counts)) = found else {
            return;
        };
        log::warn!(service = order.service.as_str(), version = order.version.as_str(),
            reason = report.bad.as_str(), elapsed_ms = report.elapsed_ms,
            requests = counts.requests, failures = counts.failures, slow = counts.slow,
            base_requests = counts.base_requests, base_failures = counts.base_failures,
            base_slow = counts.base_slow; "version is bad");
        self.withhold(&order);
        let view = self.parts.members.get();
        let others = view.running().filter(|member| member.node != *node);
        let others: Vec<_> = others.map(|member| member.peer_address).collect();
        for batch in others.chunks(Self::NOTIFY_BATCH) {
            let (shared, batch, report) = (self.clone(), batch.to_vec(), report.clone());
            compio::runtime::spawn(async move {
                for to in batch {
                    shared.send_report(to, report.clone()).await;
                }
            })
            .detach();
        }
    }

    /// Sends a report and applies the answer.
    pub(super) async fn send_report(
        self: &rc::Rc<Self>,
        to: units::Address,
        report: wire::CanaryReport,
    ) {
        let service = CompactString::from(report.service.as_str());
        let version = CompactString::from(report.version.as_str());
        let payload = report.encode_to_vec();
        let response = self
            .parts
            .link
            .call(to, NAME, payload, Self::ANSWER_TIMEOUT)
            .await;
        let answer = response.map(|answer| wire::CanaryAnswer::decode(answer.as_slice()));
        match answer {
            Ok(Ok(answer)) => {
                if answer.doubted {
                    self.apply_doubt(&service, &version);
                }
                self.apply_remote(&service, &version, answer.elapsed_ms, &answer.bad);
                if answer.ended {
                    self.apply_remote_end(&service, &version);
                }
            }
            Ok(Err(_)) => log::warn!(to:% = to; "failed to decode the answer to a report"),
            Err(error) => log::debug!(to:% = to, error:% = error; "report was not answered"),
        }
    }

    /// Applies what another node has reported about the move.
    fn apply_remote(
        self: &rc::Rc<Self>,
        service: &CompactString,
        version: &str,
        elapsed: u64,
        reason: &str,
    ) {
        let is_new = self.with_trial(service, |trial| {
            if trial.order.version != version || trial.order.phase.is_end() {
                return false;
            }
            trial.raise_elapsed(time::Duration::from_millis(elapsed));
            let is_new = trial.bad_reason.is_none() && !reason.is_empty();
            if is_new {
                trial.bad_reason = Some(reason.into());
            }
            is_new
        });
        if is_new == Some(true) {
            self.withhold_and_notify(service);
        }
    }

    /// Holds the share of a version that a judge doubts.
    fn apply_doubt(&self, service: &str, version: &str) {
        self.with_trial(service, |trial| {
            if trial.order.version == version {
                trial.doubt();
            }
        });
    }

    /// Reads the store again after another node has reported the end of the move of `service`, which
    /// is written there.
    fn apply_remote_end(&self, service: &str, version: &str) {
        let is_running = self.with_trial(service, |trial| {
            trial.order.version == version && !trial.order.phase.is_end()
        });
        if is_running == Some(true) {
            self.nudge.ring();
        }
    }

    pub(super) fn serve(self: &rc::Rc<Self>, request: peer::Incoming) {
        let Ok(report) = wire::CanaryReport::decode(request.payload.as_slice()) else {
            return request.answer.invalid();
        };
        let service = CompactString::from(report.service.as_str());
        self.apply_remote(&service, &report.version, report.elapsed_ms, &report.bad);
        let answer = self.with_trial(&service, |trial| {
            if trial.order.version == report.version {
                trial.apply_report(&report);
            }
            trial.answer()
        });
        if answer.is_none() {
            // Another node knows an order that this one does not.
            self.nudge.ring();
        }
        request
            .answer
            .send(answer.unwrap_or_default().encode_to_vec());
    }
}
