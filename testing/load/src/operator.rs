//! Operator API of a node, as the experiments use it.

use std::io;
use std::time;

use config::{Change, Put, Route, Service, Weight};
use schema::operator::operator_client::OperatorClient;
use schema::operator::{self, apply_reply::Outcome};
use tonic::metadata;

use crate::fleet::Mesh;

/// Connection to the operator API of one node.
#[derive(Clone)]
pub struct Operator {
    client: OperatorClient<web::Channel>,
    token: metadata::AsciiMetadataValue,
}

/// Why a call brought no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node cannot be reached.
    #[error("the operator API cannot be reached: {0}")]
    Connect(#[from] io::Error),
    /// The node refused the call.
    #[error("the operator API refused: {0}")]
    Status(Box<tonic::Status>),
    /// The node did not answer in time.
    #[error("the operator API did not answer in time")]
    Late,
    /// The change was not accepted.
    #[error("the change was not accepted: {0}")]
    Refused(String),
    /// What the node sent cannot be read.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Self::Status(Box::new(status))
    }
}

impl Operator {
    /// Time that one call may take.
    const TIMEOUT: time::Duration = time::Duration::from_secs(10);
    /// Largest answer, in bytes.
    const ANSWER_BYTES: usize = 64 * 1024 * 1024;

    /// Connects to the operator address `address`.
    ///
    /// # Errors
    /// [`Error::Connect`], [`Error::Late`].
    pub async fn open(address: units::Address) -> Result<Self, Error> {
        let opening = compio::time::timeout(Self::TIMEOUT, web::Channel::open(address));
        let channel = opening.await.map_err(|_| Error::Late)??;
        let client = OperatorClient::new(channel).max_decoding_message_size(Self::ANSWER_BYTES);
        let token = format!("Bearer {}", Mesh::TOKEN).parse();
        let token = token.map_err(|_| Error::Malformed("the token".to_owned()))?;
        Ok(Self { client, token })
    }

    /// Applies `puts` as one change and gives its version.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn apply(&self, puts: Vec<Put>) -> Result<units::Version, Error> {
        let change = Change {
            operation: units::Operation::random(),
            puts,
            removes: Vec::new(),
            author: "radishgap-load".into(),
        };
        let request = self.request(operator::ApplyRequest {
            change: Some(change.encode()),
            dry_run: false,
        });
        let reply = finish(self.client.clone().apply(request)).await?;
        match reply.outcome() {
            Outcome::Accepted => Ok(units::Version(reply.version)),
            other => Err(Error::Refused(format!("{other:?} {:?}", reply.findings))),
        }
    }

    /// Revision at which the node holds the route `name`; none where it holds no such route.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn route_revision(&self, name: &str) -> Result<Option<units::Version>, Error> {
        let request = self.request(operator::ReadRequest {});
        let reply = finish(self.client.clone().read(request)).await?;
        let held = reply.configuration.unwrap_or_default();
        let route = held.routes.iter().find(|route| route.name == name);
        Ok(route.map(|route| units::Version(route.revision)))
    }

    /// On how many nodes `version` is in force.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn status(&self, version: units::Version) -> Result<operator::StatusReply, Error> {
        let request = self.request(operator::StatusRequest { version: version.0 });
        finish(self.client.clone().status(request)).await
    }

    /// Starts a move.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn start_move(
        &self,
        message: operator::StartMoveRequest,
    ) -> Result<operator::Move, Error> {
        let request = self.request(message);
        let reply = finish(self.client.clone().start_move(request)).await?;
        moved(reply)
    }

    /// One move.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn show_move(&self, id: &str) -> Result<operator::Move, Error> {
        let request = self.request(operator::ShowMoveRequest { id: id.to_owned() });
        let reply = finish(self.client.clone().show_move(request)).await?;
        moved(reply)
    }

    /// The node's state.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn dump(&self) -> Result<serde_json::Value, Error> {
        let request = self.request(operator::DumpRequest {});
        let reply = finish(self.client.clone().dump(request)).await?;
        serde_json::from_str(&reply.json).map_err(|error| Error::Malformed(error.to_string()))
    }

    fn request<M>(&self, message: M) -> tonic::Request<M> {
        let mut request = tonic::Request::new(message);
        let token = self.token.clone();
        request.metadata_mut().insert("authorization", token);
        request
    }
}

async fn finish<M>(
    call: impl Future<Output = Result<tonic::Response<M>, tonic::Status>>,
) -> Result<M, Error> {
    let ended = compio::time::timeout(Operator::TIMEOUT, call).await;
    Ok(ended.map_err(|_| Error::Late)??.into_inner())
}

fn moved(reply: operator::MoveReply) -> Result<operator::Move, Error> {
    let missing = || Error::Malformed("no move in the answer".to_owned());
    reply.r#move.ok_or_else(missing)
}

/// A service whose whole traffic goes to `version`.
#[must_use]
pub fn service(name: &str, version: &str) -> Put {
    let weight = Weight {
        version: version.into(),
        share: units::Share::WHOLE,
    };
    let service = Service {
        name: name.into(),
        weights: vec![weight],
        revision: units::Version::default(),
        ..Service::default()
    };
    Put::Service(service, None)
}

/// A route for `host` and `path` to `service`.
#[must_use]
pub fn route(host: &str, path: &str, service: &str, timeout: units::Period) -> Put {
    let name = path.trim_matches('/').replace('/', "-");
    let route = Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path.into(),
        service: service.into(),
        timeout,
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(16 * 1024 * 1024),
        revision: units::Version::default(),
        ..Route::default()
    };
    Put::Route(route, None)
}
