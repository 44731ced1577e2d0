//! Backend status exchanged between nodes.

use std::fmt;
use std::str;
use std::time;

use super::Headers;

units::record! {
    /// Status of a backend server that limits its rate or is leaving, exchanged between nodes as
    /// `INSTANCE;RATE;TURN;LEAVING`: instance number in hexadecimal, requests a second or `-`,
    /// milliseconds, and `1` or `0`.
    #[derive(Copy)]
    pub struct BackendStatus {
        /// Instance number of the backend server, new at each start.
        pub instance: u64,
        /// Rate limit in requests a second, if the backend server has announced one.
        pub rate: Option<units::Rate>,
        /// From an owner: time until the next request of the same ingress may be sent.
        pub turn: time::Duration,
        /// Whether the backend server has announced that it is leaving.
        pub leaving: bool,
    }
}

impl BackendStatus {
    /// Reads the status sent by another node; `None` if there is none or it cannot be parsed.
    #[must_use]
    pub fn read(headers: &http::HeaderMap) -> Option<Self> {
        let text = Headers::text(headers, &Headers::BACKEND_STATUS)?;
        match text.parse() {
            Ok(backend_status) => Some(backend_status),
            Err(error) => {
                log::warn!(error:% = error; "backend status from another node cannot be parsed");
                None
            }
        }
    }

    /// Writes the status into a message to another node.
    pub fn write(&self, headers: &mut http::HeaderMap) {
        Headers::set(headers, Headers::BACKEND_STATUS, &self.to_string());
    }
}

impl fmt::Display for BackendStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x};", self.instance)?;
        match self.rate {
            Some(rate) => write!(formatter, "{}", rate.0)?,
            None => formatter.write_str("-")?,
        }
        let turn = units::millis(self.turn);
        write!(formatter, ";{turn};{}", u8::from(self.leaving))
    }
}

impl str::FromStr for BackendStatus {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || units::Error::new(text, "an instance, a rate, a time and a flag");
        let parts: Vec<_> = text.split(';').collect();
        let [instance, rate, turn, leaving] = parts[..] else {
            return Err(refused());
        };
        let rate = match admission::Advertised::parse([Some(rate)].into_iter()) {
            admission::Advertised::Rate(rate) => Some(rate),
            _ if rate == "-" => None,
            _ => return Err(refused()),
        };
        let turn = turn.parse().map_err(|_| refused())?;
        Ok(Self {
            instance: u64::from_str_radix(instance, 16).map_err(|_| refused())?,
            rate,
            turn: time::Duration::from_millis(turn),
            leaving: leaving == "1",
        })
    }
}
