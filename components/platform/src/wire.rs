//! JSON forms of the object API.

use base64::Engine;
use base64::engine::general_purpose;
use serde::Deserialize;

use crate::{Error, Event, Events, Key, Listing, Object, Revision};

#[derive(Deserialize)]
struct WireObject {
    key: String,
    revision: u64,
    value: String,
}

#[derive(Deserialize)]
struct WireListing {
    revision: u64,
    objects: Vec<WireObject>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEvent {
    Put(WireObject),
    Removed { key: String, revision: u64 },
}

#[derive(Deserialize)]
struct WireEvents {
    revision: u64,
    events: Vec<WireEvent>,
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

/// Reads the answer to a list.
///
/// # Errors
/// [`Error::Unknown`] where it is malformed.
pub(crate) fn decode_listing(text: &[u8]) -> Result<Listing, Error> {
    let wire: WireListing = serde_json::from_slice(text).map_err(|_| unreadable())?;
    let objects: Result<Vec<Object>, Error> =
        wire.objects.into_iter().map(TryInto::try_into).collect();
    Ok(Listing {
        revision: Revision(wire.revision),
        objects: objects?,
    })
}

/// Reads the answer to a watch.
///
/// # Errors
/// [`Error::Unknown`] where it is malformed.
pub(crate) fn decode_events(text: &[u8]) -> Result<Events, Error> {
    let wire: WireEvents = serde_json::from_slice(text).map_err(|_| unreadable())?;
    let events: Result<Vec<Event>, Error> =
        wire.events.into_iter().map(TryInto::try_into).collect();
    Ok(Events {
        revision: Revision(wire.revision),
        events: events?,
    })
}

fn decode_key(text: &str) -> Result<Key, Error> {
    text.parse().map_err(|_| unreadable())
}

fn unreadable() -> Error {
    Error::Unknown("the answer is malformed".into())
}
