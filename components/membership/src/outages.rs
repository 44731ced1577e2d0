//! Data centres that cannot be reached.

use std::time;

use schema::membership as wire;

/// Data centres that cannot be reached from this one, as its bridges found; each entry expires.
#[derive(Debug, Clone, Default)]
pub struct Outages {
    /// Sorted by data centre.
    entries: Vec<Outage>,
}

#[derive(Debug, Clone)]
struct Outage {
    centre: units::DataCentre,
    /// Attempts of this node to reach it that failed in a row.
    failures: u32,
    /// Until when it is believed; `None` while too few attempts have failed.
    until: Option<time::Instant>,
}

impl Outages {
    /// Failed attempts in a row, each at another member, that count as an outage.
    pub const FAILURES: u32 = 3;
    /// Part of the time left that is passed on, so that nodes cannot keep an outage alive among them.
    const PASSED_ON: f64 = 0.9;
    /// Most data centres that are kept.
    const LIMIT: usize = 64;

    /// Notes an attempt of this node to reach `centre`; an outage is believed for `lifetime`.
    pub fn note(
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
            outage.until = None;
        } else {
            outage.failures += 1;
        }
        if outage.failures >= Self::FAILURES {
            outage.until = Some(now + lifetime);
        }
    }

    /// Takes in what another node of the data centre believes, for `longest` at most.
    pub fn learn(&mut self, told: &[wire::Outage], longest: time::Duration, now: time::Instant) {
        for told in told.iter().take(Self::LIMIT) {
            let Ok(centre) = told.centre.parse() else {
                continue;
            };
            let left = time::Duration::from_millis(told.left_ms.into()).min(longest);
            if let Some(outage) = self.entry(&centre) {
                outage.until = outage.until.max(Some(now + left));
            }
        }
    }

    /// The data centres that did not answer this node's last attempt, sorted.
    #[must_use]
    pub fn failing(&self) -> Vec<units::DataCentre> {
        let failing = self.entries.iter().filter(|outage| outage.failures > 0);
        failing.map(|outage| outage.centre.clone()).collect()
    }

    /// What to pass on at `now`.
    #[must_use]
    pub fn encode(&self, now: time::Instant) -> Vec<wire::Outage> {
        let believed = self.entries.iter().filter_map(|outage| {
            let left = outage.until?.checked_duration_since(now)?;
            Some((outage, left.mul_f64(Self::PASSED_ON).as_millis()))
        });
        let passed_on = believed.filter(|(_, left)| *left > 0);
        let encoded = passed_on.map(|(outage, left)| wire::Outage {
            centre: outage.centre.to_string(),
            left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        });
        encoded.collect()
    }

    /// The data centres that cannot be reached at `now`, sorted.
    #[must_use]
    pub fn list(&self, now: time::Instant) -> Vec<units::DataCentre> {
        let lost = |outage: &&Outage| outage.until.is_some_and(|until| until > now);
        let lost = self.entries.iter().filter(lost);
        lost.map(|outage| outage.centre.clone()).collect()
    }

    fn entry(&mut self, centre: &units::DataCentre) -> Option<&mut Outage> {
        let place = self.entries.binary_search_by(|one| one.centre.cmp(centre));
        let place = match place {
            Ok(place) => place,
            Err(_) if self.entries.len() >= Self::LIMIT => return None,
            Err(place) => {
                let outage = Outage {
                    centre: centre.clone(),
                    failures: 0,
                    until: None,
                };
                self.entries.insert(place, outage);
                place
            }
        };
        Some(&mut self.entries[place])
    }
}
