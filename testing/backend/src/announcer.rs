//! Announces the backend server to the node beside it.

use std::collections;
use std::time;

use futures_util::StreamExt;
use rand::Rng;
use schema::announce;
use schema::announce::announce_client::AnnounceClient;

use crate::state::{Changes, Hints};
use crate::{Settings, State};

/// Sends announcements until it is stopped.
pub struct Announcer {
    state: State,
    changes: Changes,
    node: units::Address,
    address: units::Address,
    /// Hints of the past, oldest first, for announcements that lag.
    past: collections::VecDeque<(time::Instant, Hints)>,
}

impl Announcer {
    /// Time that one announcement may take.
    const TIMEOUT: time::Duration = time::Duration::from_secs(1);
    /// First pause after a failure.
    const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);
    /// Longest pause after a failure.
    const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(1);
    /// Longest time between two announcements, so that hints of the past are fresh.
    const LONGEST_INTERVAL: time::Duration = time::Duration::from_secs(1);
    /// Announcements are due after this part of the lease.
    const LEASE_PART: u32 = 3;
    /// Hints of the past that are kept.
    const PAST: usize = 1_000;

    /// Announces the process with `state`, listening at `address`, to the node's port `node`.
    #[must_use]
    pub fn new(
        state: State,
        changes: Changes,
        node: units::Address,
        address: units::Address,
    ) -> Self {
        Self {
            state,
            changes,
            node,
            address,
            past: collections::VecDeque::new(),
        }
    }

    /// Connects and announces until the connection fails; gives the number of announcements.
    async fn hold(&mut self, stop: &kernel::Stop) -> u64 {
        let opened = compio::time::timeout(Self::TIMEOUT, web::Channel::open(self.node)).await;
        let Ok(Ok(channel)) = opened else {
            return 0;
        };
        let mut client = AnnounceClient::new(channel);
        let mut sent = 0;
        while !stop.is_requested() {
            let Some(lease) = self.announce(&mut client).await else {
                break;
            };
            sent += 1;
            let interval = (lease / Self::LEASE_PART).min(Self::LONGEST_INTERVAL);
            let changed = compio::time::timeout(interval, self.changes.next());
            stop.guard(changed).await;
        }
        sent
    }

    /// Sends one announcement and gives the lease that the node granted.
    async fn announce(
        &mut self,
        client: &mut AnnounceClient<web::Channel>,
    ) -> Option<time::Duration> {
        if self.state.faults().silent {
            return Some(Self::LONGEST_INTERVAL * Self::LEASE_PART);
        }
        let announcement = self.message();
        let answer = compio::time::timeout(Self::TIMEOUT, client.announce(announcement)).await;
        match answer {
            Ok(Ok(answer)) => {
                let lease = answer.into_inner().lease_ms.max(1);
                Some(time::Duration::from_millis(u64::from(lease)))
            }
            Ok(Err(status)) => {
                log::warn!(status:% = status; "the node refused the announcement");
                None
            }
            Err(_) => {
                log::warn!(node:% = self.node; "the node did not answer an announcement");
                None
            }
        }
    }

    fn message(&mut self) -> announce::Announcement {
        let hints = self.lagging(time::Instant::now());
        let settings: &Settings = self.state.settings();
        announce::Announcement {
            service: settings.service.to_string(),
            version: settings.version.to_string(),
            address: self.address.to_string(),
            slots: settings.slots,
            connections: settings.connections,
            phase: self.state.phase().into(),
            healthy: hints.healthy,
            load: hints.load,
            instance: self.state.instance(),
        }
    }

    /// The hints of as long ago as the faults say.
    fn lagging(&mut self, now: time::Instant) -> Hints {
        let hints = self.state.hints();
        self.past.push_back((now, hints));
        if self.past.len() > Self::PAST {
            self.past.pop_front();
        }
        let lag = self.state.faults().lag.0;
        let old_enough = |entry: &&(time::Instant, Hints)| now.duration_since(entry.0) >= lag;
        let found = self.past.iter().rev().find(old_enough);
        found.or(self.past.front()).map_or(hints, |entry| entry.1)
    }
}

impl kernel::Service for Announcer {
    const NAME: &'static str = "announcer";

    async fn run(mut self, stop: kernel::Stop) {
        let mut pause = Self::FIRST_PAUSE;
        while !stop.is_requested() {
            if self.hold(&stop).await > 0 {
                pause = Self::FIRST_PAUSE;
            }
            // Full jitter keeps reconnects of many processes apart.
            let jittered = pause.mul_f64(rand::rng().random_range(0.5..=1.0));
            stop.sleep(jittered).await;
            pause = (pause * 2).min(Self::LONGEST_PAUSE);
        }
    }
}
