//! JSON forms of the object API.

use base64::Engine;
use base64::engine::general_purpose;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{Error, Event, Events, Key, Listing, Object, Revision};

#[derive(Deserialize)]
struct WireObject {
    key: String,
    revision: u64,
    value: String,
}

#[derive(Deserialize)]
struct WireListing<'a> {
    revision: u64,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEvent {
    Put(WireObject),
    Removed { key: String, revision: u64 },
}

#[derive(Deserialize)]
struct WireEvents<'a> {
    revision: u64,
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
}

impl TryFrom<WireObject> for Object {
    type Error = Error;

    fn try_from(wire: WireObject) -> Result<Self, Error> {
        let value = general_purpose::STANDARD.decode(&wire.value);
        Ok(Self {
            key: decode_key(&wire.key)?,
            revision: Revision(wire.revision),
            value: value.map_err(|_| unreadable())?,
        })
    }
}

impl TryFrom<WireEvent> for Event {
    type Error = Error;

    fn try_from(wire: WireEvent) -> Result<Self, Error> {
        match wire {
            WireEvent::Put(object) => Ok(Self::Put(object.try_into()?)),
            WireEvent::Removed { key, revision } => {
                Ok(Self::Removed(decode_key(&key)?, Revision(revision)))
            }
        }
    }
}

/// Reads the answer to a list; an object that cannot be read is left out.
///
/// # Errors
/// [`Error::Unknown`] where it is malformed.
pub(crate) fn decode_listing(text: &[u8]) -> Result<Listing, Error> {
    let wire: WireListing<'_> = serde_json::from_slice(text).map_err(|_| unreadable())?;
    Ok(Listing {
        revision: Revision(wire.revision),
        objects: decode_entries::<WireObject, _>(&wire.objects),
    })
}

/// Reads the answer to a watch; an event that cannot be read is left out.
///
/// # Errors
/// [`Error::Unknown`] where it is malformed.
pub(crate) fn decode_events(text: &[u8]) -> Result<Events, Error> {
    let wire: WireEvents<'_> = serde_json::from_slice(text).map_err(|_| unreadable())?;
    Ok(Events {
        revision: Revision(wire.revision),
        events: decode_entries::<WireEvent, _>(&wire.events),
    })
}

/// Reads each entry by itself, so that one of another writer does not hide the others.
fn decode_entries<'a, W, T>(entries: &[&'a RawValue]) -> Vec<T>
where
    W: Deserialize<'a>,
    T: TryFrom<W, Error = Error>,
{
    let decoded = entries.iter().map(|entry| {
        let wire: W = serde_json::from_str(entry.get()).map_err(|_| unreadable())?;
        wire.try_into()
    });
    let readable = decoded.filter_map(|entry: Result<T, Error>| {
        if let Err(error) = &entry {
            log::warn!(event = "entry-unreadable", error:% = error; "an entry of the store is left out");
        }
        entry.ok()
    });
    readable.collect()
}

fn decode_key(text: &str) -> Result<Key, Error> {
    text.parse().map_err(|_| unreadable())
}

fn unreadable() -> Error {
    Error::Unknown("the answer is malformed".into())
}
