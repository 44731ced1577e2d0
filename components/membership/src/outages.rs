//! Unreachable data centres.

use std::time;

use schema::membership as wire;

/// Data centres that the bridges of this data centre cannot reach; each entry expires.
#[derive(Debug, Clone, Default)]
pub struct Outages {
    /// Sorted by data centre.
    entries: Vec<Outage>,
}

#[derive(Debug, Clone)]
struct Outage {
    centre: units::DataCentre,
    /// Consecutive failed attempts of this node to reach the data centre.
    failures: u32,
    /// Time at which the outage expires; `None` while too few attempts have failed.
    expires: Option<time::Instant>,
}

impl Outages {
    /// Consecutive failed attempts, each with another member, that count as an outage.
    pub const FAILURES: u32 = 3;
    /// Fraction of the remaining time that is passed on, so that nodes cannot renew an outage for each other
    /// indefinitely.
    const RELAYED_FRACTION: f64 = 0.9;
    /// Maximum number of data centres kept.
    const LIMIT: usize = 64;

    /// Records an attempt of this node to reach `centre`; an outage expires after `lifetime`.
    pub fn record_attempt(
        &mut self,
        centre: &units::DataCentre,
        reached: bool,
        lifetime: time::Duration,
        now: time::Instant,
    ) {
        let Some(outage) = self.entry(centre) else {
            return;
        };
        if reached {
            outage.failures = 0;
            outage.expires = None;
        } else {
            outage.failures += 1;
        }
        if outage.failures >= Self::FAILURES {
            outage.expires = Some(now + lifetime);
        }
    }

    /// Merges outages reported by another node of the data centre, each for at most `max_lifetime`.
    pub fn merge(
        &mut self,
        reported: &[wire::Outage],
        max_lifetime: time::Duration,
        now: time::Instant,
    ) {
        for reported in reported.iter().take(Self::LIMIT) {
            let Ok(centre) = reported.centre.parse() else {
                continue;
            };
            let left = time::Duration::from_millis(reported.left_ms.into()).min(max_lifetime);
            if let Some(outage) = self.entry(&centre) {
                outage.expires = outage.expires.max(Some(now + left));
            }
        }
    }

    /// The data centres that did not answer this node's last attempt, sorted.
    #[must_use]
    pub fn failing(&self) -> Vec<units::DataCentre> {
        let failing = self.entries.iter().filter(|outage| outage.failures > 0);
        failing.map(|outage| outage.centre.clone()).collect()
    }

    /// Encodes the outages in force at `now` for other nodes.
    #[must_use]
    pub fn encode(&self, now: time::Instant) -> Vec<wire::Outage> {
        let current = self.entries.iter().filter_map(|outage| {
            let left = outage.expires?.checked_duration_since(now)?;
            Some((outage, left.mul_f64(Self::RELAYED_FRACTION).as_millis()))
        });
        let relayed = current.filter(|(_, left)| *left > 0);
        let encoded = relayed.map(|(outage, left)| wire::Outage {
            centre: outage.centre.to_string(),
            left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        });
        encoded.collect()
    }

    /// The data centres that are unreachable at `now`, sorted.
    #[must_use]
    pub fn list(&self, now: time::Instant) -> Vec<units::DataCentre> {
        let is_unreachable = |outage: &&Outage| outage.expires.is_some_and(|expires| expires > now);
        let unreachable = self.entries.iter().filter(is_unreachable);
        unreachable.map(|outage| outage.centre.clone()).collect()
    }

    fn entry(&mut self, centre: &units::DataCentre) -> Option<&mut Outage> {
        let index = self.entries.binary_search_by(|one| one.centre.cmp(centre));
        let index = match index {
            Ok(index) => index,
            Err(_) if self.entries.len() >= Self::LIMIT => return None,
            Err(index) => {
                let outage = Outage {
                    centre: centre.clone(),
                    failures: 0,
                    expires: None,
                };
                self.entries.insert(index, outage);
                index
            }
        };
        Some(&mut self.entries[index])
    }
}
