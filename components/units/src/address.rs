//! IP address and port.

use std::fmt;
use std::net;
use std::str;

use crate::Error;

/// IP address and port, such as `127.0.0.1:7400`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub net::SocketAddr);

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl str::FromStr for Address {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.parse();
        parsed
            .map(Self)
            .map_err(|_| Error::new(text, "an IP address and port, such as `127.0.0.1:7400`"))
    }
}

crate::record::textual!(
    Address,
    "an IP address and port, such as `127.0.0.1:7400`",
    "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$"
);
