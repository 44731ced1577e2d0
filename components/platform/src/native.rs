//! Form of the platform's object API.

use std::time;

use compact_str::{CompactString, format_compact};
use http::{HeaderName, Method, StatusCode, header};

use crate::form::{Answer, Ask, Page};
use crate::{Error, Events, Form, Key, Object, Revision, wire};

/// Form of the platform's object API: values are bodies, revisions are entity tags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Native;

impl Native {
    fn write(
        method: Method,
        key: &Key,
        condition: (HeaderName, CompactString),
        body: Vec<u8>,
    ) -> Ask {
        Ask {
            method,
            path: format_compact!("/v1/objects/{key}"),
            header: Some(condition),
            body,
        }
    }
}

impl Form for Native {
    fn read(&self, key: &Key) -> Ask {
        Ask::get(format_compact!("/v1/objects/{key}"))
    }

    fn create(&self, key: &Key, value: Vec<u8>) -> Ask {
        Self::write(Method::PUT, key, (header::IF_NONE_MATCH, "*".into()), value)
    }

    fn update(&self, key: &Key, expected: Revision, value: Vec<u8>) -> Ask {
        Self::write(Method::PUT, key, (header::IF_MATCH, tag(expected)), value)
    }

    fn remove(&self, key: &Key, expected: Revision) -> Ask {
        let condition = (header::IF_MATCH, tag(expected));
        Self::write(Method::DELETE, key, condition, Vec::new())
    }

    fn list(&self, prefix: &str, _: Option<&Key>) -> Ask {
        Ask::get(format_compact!("/v1/objects?prefix={prefix}"))
    }

    fn watch(&self, prefix: &str, from: Revision, wait: time::Duration) -> Ask {
        let millis = wait.as_millis();
        Ask::get(format_compact!(
            "/v1/watch?prefix={prefix}&from={}&wait_ms={millis}",
            from.counter()
        ))
    }

    fn object(&self, key: &Key, answer: Answer) -> Result<Object, Error> {
        check_ok(&answer)?;
        Ok(Object {
            key: key.clone(),
            revision: revision(&answer.headers)?,
            value: answer.body,
        })
    }

    fn written(&self, answer: &Answer) -> Result<Revision, Error> {
        self.removed(answer)?;
        revision(&answer.headers)
    }

    fn removed(&self, answer: &Answer) -> Result<(), Error> {
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => Err(Error::Conflict),
            status => Err(refused(status)),
        }
    }

    /// The API gives the whole list at once.
    fn page(&self, _: &str, answer: &Answer) -> Result<Page, Error> {
        check_ok(answer)?;
        let listing = wire::decode_listing(&answer.body)?;
        let more = false;
        Ok(Page { listing, more })
    }

    fn events(&self, _: &str, answer: &Answer) -> Result<Events, Error> {
        check_ok(answer)?;
        wire::decode_events(&answer.body)
    }
}

fn check_ok(answer: &Answer) -> Result<(), Error> {
    match answer.status {
        StatusCode::OK => Ok(()),
        status => Err(refused(status)),
    }
}

fn refused(status: StatusCode) -> Error {
    Error::Invalid(format_compact!("status {status}"))
}

fn tag(revision: Revision) -> CompactString {
    format_compact!("\"{}\"", revision.counter())
}

fn revision(headers: &http::HeaderMap) -> Result<Revision, Error> {
    let read = || {
        let tag = headers.get(header::ETAG)?.to_str().ok()?;
        let number = tag.strip_prefix('"')?.strip_suffix('"')?;
        number.parse().ok().map(Revision)
    };
    read().ok_or_else(|| Error::Unknown("the answer names no revision".into()))
}
