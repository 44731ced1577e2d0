//! Identifier of a move.

use std::fmt;
use std::str;

use compact_str::{CompactString, format_compact};

use crate::Shard;

/// Identifier of a move: the service's name, a hyphen, and the move's number among its moves.
///
/// The number makes the platform's conditional create the one place where moves of a service are
/// ordered: of two that are started at once only one can create the object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    service: CompactString,
    number: u32,
    /// Kept, since it is asked for often.
    shard: Shard,
}

impl Id {
    /// The `number`th move of `service`, counted from 1.
    #[must_use]
    pub fn new(service: &str, number: u32) -> Self {
        Self {
            service: service.into(),
            number,
            shard: Shard::of(&format_compact!("{service}-{number}")),
        }
    }

    /// Name of the service.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Number of the move among those of the service.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.number
    }

    /// The next move of the same service.
    #[must_use]
    pub fn next(&self) -> Self {
        Self::new(&self.service, self.number + 1)
    }

    /// Key of the move's object in the platform.
    ///
    /// # Errors
    /// When the name of the service cannot be part of a key.
    pub fn key(&self) -> Result<platform::Key, units::Error> {
        format_compact!("{}{self}", Self::PREFIX).parse()
    }

    /// Prefix of the keys of all moves.
    pub const PREFIX: &'static str = "move/";

    /// The shard that the move belongs to.
    #[must_use]
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// Operation id of the change to the configuration that the move makes for `purpose`.
    ///
    /// # Errors
    /// When the name of the service is too long for it.
    pub fn operation(&self, purpose: &str) -> Result<units::Operation, units::Error> {
        format_compact!("move.{self}.{purpose}").parse()
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.service, self.number)
    }
}

impl str::FromStr for Id {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || units::Error::new(text, "the id of a move, such as `bookdesk-3`");
        let (service, number) = text.rsplit_once('-').ok_or_else(refused)?;
        let service: units::Service = service.parse().map_err(|_| refused())?;
        let number = number.parse().map_err(|_| refused())?;
        Ok(Self::new(service.as_str(), number))
    }
}

impl serde::Serialize for Id {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
