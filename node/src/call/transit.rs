//! Time that requests spend on their way between nodes.

use std::fmt;
use std::str;
use std::time;

use units::Uptime;

/// The process that sent a message and when, by the clock of its VM; written as `SENDER-MILLIS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Random id of the process.
    pub sender: u32,
    /// Time at which it sent the message.
    pub sent: Uptime,
}

impl Stamp {
    /// Stamps a message that `sender` sends now.
    #[must_use]
    pub fn now(sender: u32) -> Self {
        let sent = Uptime::now();
        Self { sender, sent }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}-{}", self.sender, self.sent.0.as_millis())
    }
}

impl str::FromStr for Stamp {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || units::Error::new(text, "`SENDER-MILLIS`");
        let (sender, millis) = text.split_once('-').ok_or_else(refused)?;
        let sender = u32::from_str_radix(sender, 16).map_err(|_| refused())?;
        let millis = millis.parse().map_err(|_| refused())?;
        let sent = Uptime(time::Duration::from_millis(millis));
        Ok(Self { sender, sent })
    }
}

/// Time that messages of other processes spend on their way.
///
/// Clocks of two VMs differ by an unknown amount, which the fastest of the latest messages shows; what
/// a message takes beyond that, it has waited. Compare the base delay of LEDBAT, RFC 6817, section 3.4.2.
#[derive(Debug, Default)]
pub struct Transits {
    /// Sorted by id.
    senders: Vec<Sender>,
}

#[derive(Debug)]
struct Sender {
    id: u32,
    /// Start of the current period.
    since: Uptime,
    /// Least difference of the clocks in the current period, in milliseconds.
    least: i128,
    /// Least difference in the period before.
    least_before: i128,
}

impl Transits {
    /// Time after which the least difference may rise: clocks drift, and a VM that was frozen may have
    /// lost time.
    const PERIOD: time::Duration = time::Duration::from_secs(30);

    /// Records a message that arrives at `now`; returns the time that it has waited on its way. The
    /// first message of a sender counts as one that has not waited.
    pub fn record(&mut self, stamp: Stamp, now: Uptime) -> time::Duration {
        let difference = difference(now, stamp.sent);
        let place = self
            .senders
            .binary_search_by_key(&stamp.sender, |one| one.id);
        let place = place.unwrap_or_else(|place| {
            let sender = Sender {
                id: stamp.sender,
                since: now,
                least: difference,
                least_before: difference,
            };
            self.senders.insert(place, sender);
            place
        });
        let sender = &mut self.senders[place];
        sender.record(difference, now);
        let waited = difference - sender.least.min(sender.least_before);
        let waited = u64::try_from(waited).unwrap_or_default();
        time::Duration::from_millis(waited)
    }

    /// Forgets senders that have sent nothing for long.
    pub fn prune(&mut self, now: Uptime) {
        let is_kept = |one: &Sender| now.saturating_since(one.since) < 2 * Self::PERIOD;
        self.senders.retain(is_kept);
    }
}

impl Sender {
    fn record(&mut self, difference: i128, now: Uptime) {
        if now.saturating_since(self.since) >= Transits::PERIOD {
            self.since = now;
            self.least_before = self.least;
            self.least = difference;
        }
        self.least = self.least.min(difference);
    }
}

/// Difference of two clocks in milliseconds.
fn difference(here: Uptime, there: Uptime) -> i128 {
    let millis = |uptime: Uptime| i128::try_from(uptime.0.as_millis()).unwrap_or(i128::MAX / 2);
    millis(here) - millis(there)
}
