//! Move identifiers.

use std::fmt;
use std::str;

use compact_str::{CompactString, format_compact};

use crate::Shard;

/// Identifier of a move: the service's name, a hyphen and the number of the move within the service.
///
/// The number lets the platform's conditional create order the moves of a service: of two moves
/// started at the same time, only one can create the object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    service: CompactString,
    number: u32,
    /// Cached, as it is read often.
    shard: Shard,
}

impl Id {
    /// Id of the `number`th move of `service`, counted from 1.
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

    /// Number of the move within the service, counted from 1.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Id of the next move of the same service.
    #[must_use]
    pub fn next(&self) -> Self {
        Self::new(&self.service, self.number + 1)
    }

    /// Key of the move's platform object.
    ///
    /// # Errors
    /// Fails if the service name cannot be part of a key.
    pub fn key(&self) -> Result<platform::Key, units::Error> {
        format_compact!("{}{self}", Self::PREFIX).parse()
    }

    /// Key prefix of all moves.
    pub const PREFIX: &'static str = "move/";

    /// Shard of the move.
    #[must_use]
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// Operation id of the configuration change that the move makes for `purpose`.
    ///
    /// # Errors
    /// Fails if the service name is too long for an operation id.
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
        let invalid = || units::Error::new(text, "the id of a move, such as `bookdesk-3`");
        let (service, number) = text.rsplit_once('-').ok_or_else(invalid)?;
        let service: units::Service = service.parse().map_err(|_| invalid())?;
        let number = number.parse().map_err(|_| invalid())?;
        Ok(Self::new(service.as_str(), number))
    }
}

impl serde::Serialize for Id {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
