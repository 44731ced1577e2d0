//! Remote procedure call of backend servers.

use schema::announce as wire;
use tonic_types::StatusExt;

use super::{Message, Notice};
use crate::ask;

/// Implements the `Announce` service by messages to the [`super::Desk`].
#[derive(Clone)]
pub struct Api {
    desk: kernel::Mailbox<Message>,
}

impl Api {
    /// Sends checked announcements to `desk`.
    #[must_use]
    pub fn new(desk: kernel::Mailbox<Message>) -> Self {
        Self { desk }
    }
}

#[tonic::async_trait]
impl wire::announce_server::Announce for Api {
    async fn announce(
        &self,
        request: tonic::Request<wire::Announcement>,
    ) -> Result<tonic::Response<wire::Acknowledgement>, tonic::Status> {
        let notice = Notice::decode(request.get_ref()).map_err(|findings| {
            let mut details = tonic_types::ErrorDetails::new();
            for finding in findings.as_slice() {
                let description = format!("{}; expected {}", finding.problem, finding.expected);
                details.add_bad_request_violation(finding.place.as_str(), description);
            }
            let message = findings.to_string();
            tonic::Status::with_error_details(tonic::Code::InvalidArgument, message, details)
        })?;
        let lease = ask::ask(&self.desk, |answer| Message { notice, answer }).await?;
        let lease_ms = u32::try_from(lease.as_millis()).unwrap_or(u32::MAX);
        Ok(tonic::Response::new(wire::Acknowledgement { lease_ms }))
    }
}
