//! Settings of the distribution service.

use findings::Findings;
use serde::{Deserialize, Serialize};

/// How nodes learn of new versions.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Two nodes of each data centre watch the platform, and nodes push to each other.
    #[default]
    Mesh,
    /// Each node watches the platform itself and nodes exchange nothing; the baseline of measurements.
    Direct,
}

units::record! {
    /// Settings of the distribution service.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// How nodes learn of new versions.
        pub mode: Mode,
        /// Nodes of each data centre that watch the platform.
        pub watchers: usize,
        /// Longest time that one watch waits.
        pub watch_wait: units::Period,
        /// Pause after a watch that saw something, which bounds the calls of a burst of changes.
        pub watch_pause: units::Period,
        /// Rings in which a node has two neighbours each.
        pub rings: usize,
        /// Time that a call to another node may take.
        pub call_timeout: units::Period,
        /// Mean delay after which neighbours that get entries from elsewhere are told of the version.
        pub lazy_delay: units::Period,
        /// Mean time between two comparisons with a random node.
        pub repair: units::Period,
        /// Nodes whose answers a starting node needs.
        pub join_peers: usize,
        /// Mean pause between two attempts to join.
        pub join_pause: units::Period,
        /// Time after which a starting node that finds no answers asks the platform.
        pub platform_after: units::Period,
        /// Longest time that accepting a change takes.
        pub accept_limit: units::Period,
        /// Most changes in one entry of the log.
        pub batch: usize,
        /// Most changes that wait.
        pub pending: usize,
        /// Versions between two checkpoints in the platform.
        pub checkpoint_every: u64,
        /// Most entries kept in memory for other nodes.
        pub tail_entries: usize,
        /// Most bytes of entries kept in memory for other nodes.
        pub tail_size: units::Size,
        /// Parts of checkpoints that a node sends to others in a second.
        pub parts: units::Rate,
        /// Largest part of a checkpoint.
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
    /// Largest part of a checkpoint that fits into an object of the platform and into a message.
    const PART_BYTES: u64 = 1024 * 1024;

    /// Adds to `findings` what the schema alone cannot see; `place` is the settings' JSON pointer.
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
