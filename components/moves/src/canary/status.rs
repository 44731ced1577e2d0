//! Writes the status of moves to the store.

use std::rc;
use std::time;

use compact_str::CompactString;
use platform::{Revision, Store};

use super::service::Shared;
use super::{Order, Phase, Source};

impl<S: Store, L: peer::Link, O: Source> Shared<S, L, O> {
    /// Writes a new status of the move, if there is one: the first judge at once, each further one
    /// after the judges before it have had time to do so.
    pub(super) fn update_status(self: &rc::Rc<Self>, service: &CompactString, rank: usize) {
        let is_ready = self.has_ready_backend(service);
        let now = time::Instant::now();
        // At most three judges.
        #[allow(clippy::cast_possible_truncation)]
        let delay = self.parts.settings.write_after.0 * rank as u32;
        let write = self.with_trial(service, |trial| {
            let phase = match trial.end(is_ready) {
                _ if trial.is_end_lost => trial.order.phase,
                Some(end) => end,
                None if trial.order.phase == Phase::Ordered => Phase::Running,
                None => {
                    trial.decided_at = None;
                    return None;
                }
            };
            let decided_at = *trial.decided_at.get_or_insert(now);
            let is_due = now.saturating_duration_since(decided_at) >= delay;
            is_due.then(|| {
                // No other write is due until this one has had time to complete.
                trial.decided_at = Some(now + self.parts.settings.write_after.0);
                (
                    trial.key.clone(),
                    trial.revision,
                    trial.order.clone(),
                    phase,
                )
            })
        });
        if let Some(Some((key, revision, order, phase))) = write {
            let shared = self.clone();
            compio::runtime::spawn(async move {
                shared.write_status(key, revision, order, phase).await;
            })
            .detach();
        }
    }

    async fn write_status(
        &self,
        key: platform::Key,
        revision: Revision,
        order: Order,
        phase: Phase,
    ) {
        let status = self.parts.source.status(&order, phase);
        match self.parts.store.update(&key, revision, status).await {
            Ok(written) => {
                let order = Order { phase, ..order };
                self.with_trial(&order.service, |trial| {
                    if trial.order.is_same(&order) && written > trial.revision {
                        trial.revision = written;
                        trial.order.phase = phase;
                        trial.is_end_lost = false;
                        trial.decided_at = None;
                    }
                });
                if phase.is_end() {
                    self.apply_end(&order);
                }
            }
            Err(error) => {
                log::warn!(service = order.service.as_str(), phase:? = phase, error:% = error;
                    "failed to write the status of a move");
            }
        }
    }

    /// Whether the new version of `service` has a ready backend server.
    fn has_ready_backend(&self, service: &str) -> bool {
        let view = self.parts.members.get();
        let version = self.with_trial(service, |trial| trial.order.version.clone());
        let Some(version) = version else {
            return false;
        };
        view.running().any(|member| {
            let backend = member.backend.as_ref();
            backend.is_some_and(|backend| {
                backend.service == service
                    && backend.version == version
                    && backend.phase == membership::Phase::Ready
            })
        })
    }
}
