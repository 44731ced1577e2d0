//! Writes where moves stand.

use std::rc;
use std::time;

use compact_str::CompactString;
use platform::{Revision, Store};

use super::service::Shared;
use super::{Order, Phase, Source};

impl<S: Store, L: peer::Link, O: Source> Shared<S, L, O> {
    /// Writes where the move stands, if this node is to: the first judge at once, the others after
    /// those before them had time to.
    pub(super) fn decide(self: &rc::Rc<Self>, service: &CompactString, rank: usize) {
        let ready = self.has_backend(service);
        let now = time::Instant::now();
        // Three at most.
        #[allow(clippy::cast_possible_truncation)]
        let patience = self.parts.settings.write_after.0 * rank as u32;
        let write = self.with(service, |trial| {
            let phase = match trial.end(ready) {
                Some(end) => end,
                None if trial.order.phase == Phase::Ordered => Phase::Running,
                None => {
                    trial.decided = None;
                    return None;
                }
            };
            let decided = *trial.decided.get_or_insert(now);
            let due = now.saturating_duration_since(decided) >= patience;
            due.then(|| {
                // Another write is due only when this one has had its time.
                trial.decided = Some(now + self.parts.settings.write_after.0);
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
                shared.write(key, revision, order, phase).await;
            })
            .detach();
        }
    }

    async fn write(&self, key: platform::Key, revision: Revision, order: Order, phase: Phase) {
        let status = self.parts.source.status(&order, phase);
        match self.parts.store.update(&key, revision, status).await {
            Ok(written) => {
                let order = Order { phase, ..order };
                self.with(&order.service, |trial| {
                    if trial.order.is_same(&order) && written > trial.revision {
                        trial.revision = written;
                        trial.order.phase = phase;
                        trial.decided = None;
                    }
                });
                if phase.is_end() {
                    self.apply_end(&order);
                }
            }
            Err(error) => {
                log::warn!(service = order.service.as_str(), phase:? = phase, error:% = error;
                    "the state of a move was not written");
            }
        }
    }

    /// Whether the new version of `service` has a ready backend server.
    fn has_backend(&self, service: &str) -> bool {
        let view = self.parts.members.get();
        let version = self.with(service, |trial| trial.order.version.clone());
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
