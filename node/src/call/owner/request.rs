//! Requests to other nodes and to backend servers.

use crate::call::{Problem, Reason};

/// Builds a request to `address` with the method and path of `head`.
pub(crate) fn build_request(
    head: &http::request::Parts,
    headers: http::HeaderMap,
    address: units::Address,
    feed: upstream::Feed,
) -> Result<http::Request<upstream::Feed>, Problem> {
    let malformed = |_| Problem::refused(Reason::Malformed);
    let mut uri = http::uri::Parts::default();
    uri.scheme = Some(http::uri::Scheme::HTTP);
    let host = headers.get(http::header::HOST);
    let host = host.and_then(|host| http::uri::Authority::try_from(host.as_bytes()).ok());
    uri.authority = match host.or_else(|| head.uri.authority().cloned()) {
        Some(authority) => Some(authority),
        None => address.to_string().parse().ok(),
    };
    uri.path_and_query = head.uri.path_and_query().cloned();
    let uri = http::Uri::from_parts(uri).map_err(malformed)?;
    let mut request = http::Request::new(feed);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri;
    *request.version_mut() = http::Version::HTTP_2;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Builds a request in the form that an HTTP/1.1 server expects.
pub(super) fn build_http1(
    head: &http::request::Parts,
    mut headers: http::HeaderMap,
    feed: upstream::Feed,
) -> Result<http::Request<upstream::Feed>, Problem> {
    let malformed = |_| Problem::refused(Reason::Malformed);
    if let Some(authority) = head.uri.authority() {
        let host = http::HeaderValue::from_str(authority.as_str());
        let host = host.map_err(|_| Problem::refused(Reason::Malformed))?;
        headers.entry(http::header::HOST).or_insert(host);
    }
    let mut uri = http::uri::Parts::default();
    uri.path_and_query = head.uri.path_and_query().cloned();
    let mut request = http::Request::new(feed);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = http::Uri::from_parts(uri).map_err(malformed)?;
    *request.headers_mut() = headers;
    Ok(request)
}
