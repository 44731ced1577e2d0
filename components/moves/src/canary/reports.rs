//! What nodes tell each other of moves.

use std::rc;
use std::time;

use compact_str::CompactString;
use platform::Store;
use prost::Message;
use schema::moves as wire;

use super::service::Shared;
use super::{NAME, Source};

impl<S: Store, L: peer::Link, O: Source> Shared<S, L, O> {
    /// Time within which a judge answers a report.
    const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(500);
    /// Nodes that are told of a bad version at a time.
    const TELL_AT_ONCE: usize = 32;

    /// The version that a move of `service` brings in is bad: withholds it here and tells the others.
    pub(super) fn condemn(self: &rc::Rc<Self>, service: &CompactString) {
        let node = &self.parts.node;
        let told = self.with(service, |trial| {
            (trial.order.clone(), trial.report(node, self.life))
        });
        let Some((order, report)) = told else {
            return;
        };
        log::warn!(service = order.service.as_str(), version = order.version.as_str(),
            reason = report.bad.as_str(); "version is bad");
        self.withhold(&order);
        let view = self.parts.members.get();
        let others = view.running().filter(|member| member.node != *node);
        let others: Vec<_> = others.map(|member| member.peer_address).collect();
        for part in others.chunks(Self::TELL_AT_ONCE) {
            let (shared, part, report) = (self.clone(), part.to_vec(), report.clone());
            compio::runtime::spawn(async move {
                for to in part {
                    shared.tell(to, report.clone()).await;
                }
            })
            .detach();
        }
    }

    /// Sends a report and takes its answer.
    pub(super) async fn tell(self: &rc::Rc<Self>, to: units::Address, report: wire::CanaryReport) {
        let service = CompactString::from(report.service.as_str());
        let version = CompactString::from(report.version.as_str());
        let payload = report.encode_to_vec();
        let called = self
            .parts
            .link
            .call(to, NAME, payload, Self::ANSWER_LIMIT)
            .await;
        let answer = called.map(|answer| wire::CanaryAnswer::decode(answer.as_slice()));
        match answer {
            Ok(Ok(answer)) => {
                self.hear(&service, &version, answer.elapsed_ms, &answer.bad);
                if answer.ended {
                    self.hear_end(&service, &version);
                }
            }
            Ok(Err(_)) => log::warn!(to:% = to; "an answer to a report cannot be read"),
            Err(error) => log::debug!(to:% = to, error:% = error; "a report has no answer"),
        }
    }

    /// Takes what another node knows of the move.
    fn hear(self: &rc::Rc<Self>, service: &CompactString, version: &str, elapsed: u64, bad: &str) {
        let found = self.with(service, |trial| {
            if trial.order.version != version || trial.order.phase.is_end() {
                return false;
            }
            trial.hear(time::Duration::from_millis(elapsed));
            let found = trial.bad.is_none() && !bad.is_empty();
            if found {
                trial.bad = Some(bad.into());
            }
            found
        });
        if found == Some(true) {
            self.condemn(service);
        }
    }

    /// Another node knows that the move of `service` has ended: the store does, too.
    fn hear_end(&self, service: &str, version: &str) {
        let goes_on = self.with(service, |trial| {
            trial.order.version == version && !trial.order.phase.is_end()
        });
        if goes_on == Some(true) {
            self.nudge.ring();
        }
    }

    pub(super) fn serve(self: &rc::Rc<Self>, request: peer::Incoming) {
        let Ok(report) = wire::CanaryReport::decode(request.payload.as_slice()) else {
            return request.answer.invalid();
        };
        let service = CompactString::from(report.service.as_str());
        self.hear(&service, &report.version, report.elapsed_ms, &report.bad);
        let answer = self.with(&service, |trial| {
            if trial.order.version == report.version {
                trial.take(&report);
            }
            trial.answer()
        });
        if answer.is_none() {
            // The order is known elsewhere.
            self.nudge.ring();
        }
        request
            .answer
            .send(answer.unwrap_or_default().encode_to_vec());
    }
}
