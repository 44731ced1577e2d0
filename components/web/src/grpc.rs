//! Serves tonic services through [`crate::Server`].

use hyper::body::Incoming;
use tonic::service::Routes;
use tower_service::Service;

use crate::Handler;

/// A set of gRPC services as a handler.
#[derive(Clone)]
pub struct Grpc {
    routes: Routes,
}

impl Grpc {
    /// Serves `routes`.
    #[must_use]
    pub fn new(routes: Routes) -> Self {
        let routes = routes.prepare();
        Self { routes }
    }
}

impl Handler for Grpc {
    type Body = tonic::body::Body;

    async fn handle(mut self, request: http::Request<Incoming>) -> http::Response<Self::Body> {
        let answer = self.routes.call(request).await;
        answer.unwrap_or_else(|never| match never {})
    }
}
