//! Form of a store's calls.

use std::time;

use compact_str::CompactString;
use http::HeaderName;

use crate::{Era, Error, Events, Key, Listing, Object, Revision};

/// Form of a store's calls and answers; when and how often it is called is the client's.
pub trait Form: 'static {
    /// Reads an object.
    fn read(&self, key: &Key) -> Ask;

    /// Creates an object unless it exists.
    fn create(&self, key: &Key, value: Vec<u8>) -> Ask;

    /// Replaces an object that is at `expected`.
    fn update(&self, key: &Key, expected: Revision, value: Vec<u8>) -> Ask;

    /// Removes an object that is at `expected`.
    fn remove(&self, key: &Key, expected: Revision) -> Ask;

    /// Lists a page of the objects below `prefix`, those after the key `after`.
    fn list(&self, prefix: &str, after: Option<&Key>) -> Ask;

    /// Lists a page of the objects below `prefix` as they were, possibly some seconds ago, if the store
    /// offers that.
    fn list_stale(&self, prefix: &str, after: Option<&Key>) -> Ask {
        self.list(prefix, after)
    }

    /// Waits up to `wait` for changes below `prefix` after `from`.
    fn watch(&self, prefix: &str, from: Revision, wait: time::Duration) -> Ask;

    /// The object in the answer to a read.
    ///
    /// # Errors
    /// [`Error::Unknown`] where it is malformed, [`Error::Invalid`] where the call was refused.
    fn object(&self, key: &Key, answer: Answer) -> Result<Object, Error>;

    /// The object's revision after a create or an update.
    ///
    /// # Errors
    /// [`Error::Conflict`], or as of [`Form::object`].
    fn written(&self, answer: &Answer) -> Result<Revision, Error>;

    /// What a remove has done.
    ///
    /// # Errors
    /// As of [`Form::written`].
    fn removed(&self, answer: &Answer) -> Result<(), Error>;

    /// One page of a list.
    ///
    /// # Errors
    /// As of [`Form::object`].
    fn page(&self, prefix: &str, answer: &Answer) -> Result<Page, Error>;

    /// What a watch has seen.
    ///
    /// # Errors
    /// As of [`Form::object`].
    fn events(&self, prefix: &str, answer: &Answer) -> Result<Events, Error>;
}

/// A call before it is sent.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its method.
    pub method: http::Method,
    /// Path and query.
    pub path: CompactString,
    /// A header with its value.
    pub header: Option<(HeaderName, CompactString)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Ask {
    /// A call without a body that reads `path`.
    #[must_use]
    pub fn get(path: CompactString) -> Self {
        Self {
            method: http::Method::GET,
            path,
            header: None,
            body: Vec::new(),
        }
    }
}

/// An answer that was received whole.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status; 429 and those above 499 do not get here.
    pub status: http::StatusCode,
    /// Era of the store that it names.
    pub era: Era,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
}

/// A page of a list.
#[derive(Debug, Clone)]
pub struct Page {
    /// The objects on it.
    pub listing: Listing,
    /// Whether there are objects after it.
    pub more: bool,
}
