//! Settings of the distribution service.

use findings::Findings;
use serde::{Deserialize, Serialize};

/// Ways in which nodes receive new versions.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Two nodes of each data centre watch the platform, and nodes push new versions to each other.
    #[default]
    Mesh,
    /// Each node watches the platform itself, and nodes exchange no versions; the baseline of measurements.
    Direct,
}

units::record! {
    /// Settings of the distribution service.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Way in which nodes receive new versions.
        pub mode: Mode,
        /// Number of nodes in each data centre that watch the platform.
        pub watchers: usize,
        /// Maximum duration of one watch call.
        pub watch_wait: units::Period,
        /// Pause after a watch that returned events, which limits the calls during a burst of changes.
        pub watch_pause: units::Period,
        /// Number of rings of the overlay network; a node has two neighbours in each ring.
        pub rings: usize,
        /// Timeout of a call to another node.
        pub call_timeout: units::Period,
        /// Mean delay before a new version is announced to neighbours that get entries from other nodes.
        pub lazy_delay: units::Period,
        /// Mean interval between comparisons with a random node.
        pub repair: units::Period,
        /// Number of nodes from which a starting node needs a reply.
        pub join_peers: usize,
        /// Mean pause between attempts to join.
        pub join_pause: units::Period,
        /// Time after which a starting node that gets no replies reads the configuration from the platform.
        pub platform_after: units::Period,
        /// Maximum time for accepting a change.
        pub accept_limit: units::Period,
        /// Maximum number of changes in one log entry.
        pub batch: usize,
        /// Maximum number of changes waiting to be accepted.
        pub pending: usize,
        /// Number of versions between checkpoints in the platform.
        pub checkpoint_every: u64,
        /// Maximum number of entries kept in memory for other nodes.
        pub tail_entries: usize,
        /// Maximum total size of the entries kept in memory for other nodes.
        pub tail_size: units::Size,
        /// Maximum rate at which a node sends checkpoint parts to other nodes.
        pub parts: units::Rate,
        /// Maximum size of a checkpoint part.
        pub part_size: units::Size,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            mode: Mode::default(),
            watchers: 2,
            watch_wait: units::Period::from_secs(20),
            watch_pause: units::Period::from_millis(100),
            rings: 2,
            call_timeout: units::Period::from_secs(1),
            lazy_delay: units::Period::from_millis(50),
            repair: units::Period::from_secs(10),
            join_peers: 3,
            join_pause: units::Period::from_millis(200),
            platform_after: units::Period::from_secs(5),
            accept_limit: units::Period::from_secs(5),
            batch: 64,
            pending: 1_024,
            checkpoint_every: 512,
            tail_entries: 1_024,
            tail_size: units::Size(2 * 1024 * 1024),
            parts: units::Rate(8.0),
            part_size: units::Size(512 * 1024),
        }
    }
}

impl Settings {
    /// Maximum size of a checkpoint part that fits into a platform object and into a message.
    const PART_BYTES: u64 = 1024 * 1024;

    /// Adds `findings` that the schema alone cannot express; `place` is the JSON pointer to the settings.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        for (name, number) in [
            ("watchers", self.watchers),
            ("rings", self.rings),
            ("join_peers", self.join_peers),
            ("batch", self.batch),
            ("pending", self.pending),
            ("tail_entries", self.tail_entries),
        ] {
            if number == 0 {
                findings.add(format!("{place}/{name}"), "zero", "at least 1");
            }
        }
        for (name, period) in [
            ("watch_wait", self.watch_wait),
            ("call_timeout", self.call_timeout),
            ("repair", self.repair),
            ("join_pause", self.join_pause),
            ("accept_limit", self.accept_limit),
        ] {
            if period.as_millis() == 0 {
                findings.add(format!("{place}/{name}"), "no time", "a time above zero");
            }
        }
        if self.checkpoint_every == 0 {
            let place = format!("{place}/checkpoint_every");
            findings.add(place, "zero", "at least 1");
        }
        if self.parts.0 <= 0.0 {
            let place = format!("{place}/parts");
            findings.add(place, format!("a rate of {}", self.parts), "above 0/s");
        }
        if self.part_size.0 == 0 || self.part_size.0 > Self::PART_BYTES {
            let problem = format!("a part of {}", self.part_size);
            findings.add(format!("{place}/part_size"), problem, "1B to 1MiB");
        }
    }
}
