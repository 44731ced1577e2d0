//! What nodes tell each other of a backend server in need.

use std::fmt;
use std::str;
use std::time;

use super::Headers;

units::record! {
    /// What nodes tell each other of a backend server in need, as `INSTANCE;RATE;TURN;LEAVING`: its start
    /// in hexadecimal digits, requests a second or `-`, milliseconds, and `1` or `0`.
    #[derive(Copy)]
    pub struct Need {
        /// Number of its start.
        pub instance: u64,
        /// Requests a second that it takes, where it has named that.
        pub rate: Option<units::Rate>,
        /// From an owner: time after which the next request of the same ingress is welcome.
        pub turn: time::Duration,
        /// Whether it has said that it leaves.
        pub leaving: bool,
    }
}

impl Need {
    /// Reads what another node tells; `None` where it tells nothing, or nothing that can be read.
    #[must_use]
    pub fn read(headers: &http::HeaderMap) -> Option<Self> {
        let text = Headers::text(headers, &Headers::NEED)?;
        match text.parse() {
            Ok(need) => Some(need),
            Err(error) => {
                log::warn!(error:% = error; "what another node tells of a backend server cannot be read");
                None
            }
        }
    }

    /// Tells it to another node.
    pub fn write(&self, headers: &mut http::HeaderMap) {
        Headers::set(headers, Headers::NEED, &self.to_string());
    }
}

impl fmt::Display for Need {
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

impl str::FromStr for Need {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || units::Error::new(text, "an instance, a rate, a time and a flag");
        let parts: Vec<_> = text.split(';').collect();
        let [instance, rate, turn, leaving] = parts[..] else {
            return Err(refused());
        };
        let rate = match admission::Named::read([Some(rate)].into_iter()) {
            admission::Named::Rate(rate) => Some(rate),
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
