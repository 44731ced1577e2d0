//! Connection to the operator API of a node.

use std::time;

use error_stack::Report;
use schema::operator::operator_client::OperatorClient;
use tonic::metadata;

use crate::Failure;

/// Connection to the operator API of a node.
pub struct Client {
    operator: OperatorClient<web::Channel>,
    token: Option<metadata::AsciiMetadataValue>,
}

/// How a call ended that got no answer of its own.
#[derive(Debug)]
pub enum Error {
    /// The node refused, and nothing has changed.
    Refused(String),
    /// The answer is lost.
    Lost(String),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Refused(text) => Self::Refused(text),
            Error::Lost(text) => Self::Lost(text),
        }
    }
}

impl Client {
    /// Time for a connection to come about.
    const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(5);
    /// Largest answer, in bytes; dumps and whole configurations are the largest.
    const ANSWER_BYTES: usize = 64 * 1024 * 1024;
    /// Time for the answer to one call.
    const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(20);

    /// Connects to the node whose operator address is `address`.
    ///
    /// # Errors
    /// [`Failure::Unreachable`], or [`Failure::Usage`] where the token cannot be sent.
    pub async fn open(
        address: units::Address,
        token: Option<&str>,
    ) -> Result<Self, Report<Failure>> {
        let token = token.map(bearer).transpose()?;
        let opened =
            compio::time::timeout(Self::CONNECT_TIMEOUT, web::Channel::open(address)).await;
        let problem = match opened {
            Ok(Ok(channel)) => {
                let operator =
                    OperatorClient::new(channel).max_decoding_message_size(Self::ANSWER_BYTES);
                return Ok(Self { operator, token });
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        Err(Report::new(Failure::Unreachable { address, problem }))
    }

    /// The generated client; calls on it take what `request` makes.
    pub fn operator(&self) -> OperatorClient<web::Channel> {
        self.operator.clone()
    }

    /// A request that carries the token.
    pub fn request<M>(&self, message: M) -> tonic::Request<M> {
        let mut request = tonic::Request::new(message);
        if let Some(token) = &self.token {
            request
                .metadata_mut()
                .insert("authorization", token.clone());
        }
        request
    }

    /// Waits for the answer to one call.
    ///
    /// # Errors
    /// The refusal, or that the answer is lost.
    pub async fn finish<M>(
        &self,
        call: impl Future<Output = Result<tonic::Response<M>, tonic::Status>>,
    ) -> Result<M, Error> {
        match compio::time::timeout(Self::CALL_TIMEOUT, call).await {
            Ok(Ok(answer)) => Ok(answer.into_inner()),
            Ok(Err(status)) => Err(classify(&status)),
            Err(_) => Err(Error::Lost("timeout".to_owned())),
        }
    }
}

fn bearer(token: &str) -> Result<metadata::AsciiMetadataValue, Report<Failure>> {
    let value = format!("Bearer {token}").parse();
    value.map_err(|_| {
        let text = "the token has characters that cannot be sent in a header";
        Report::new(Failure::Usage(text.to_owned()))
    })
}

/// Tells the refusals that a node sends from failures of the connection.
///
/// `Unavailable`, `Unknown`, `Internal`, `Cancelled` and `DeadlineExceeded` also come from the
/// client library when the connection breaks after the request was sent.
pub(crate) fn classify(status: &tonic::Status) -> Error {
    let text = format!("{}: {}", name(status.code()), status.message());
    match status.code() {
        tonic::Code::Unavailable
        | tonic::Code::Unknown
        | tonic::Code::Internal
        | tonic::Code::Cancelled
        | tonic::Code::Aborted
        | tonic::Code::DeadlineExceeded => Error::Lost(text),
        _ => Error::Refused(text),
    }
}

fn name(code: tonic::Code) -> String {
    format!("{code:?}")
}
