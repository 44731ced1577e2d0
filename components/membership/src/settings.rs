//! Settings of the membership service.

use serde::{Deserialize, Serialize};

/// Settings of the membership service, the same on all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time between two probes of a node.
    pub probe_period: units::Period,
    /// Time within which a probed node has to answer; at most a third of `probe_period`.
    pub probe_timeout: units::Period,
    /// Number of nodes asked to probe a node that did not answer.
    #[schemars(range(min = 0, max = 16))]
    pub indirect_probes: usize,
    /// Minimum duration of a suspicion with ten members, in probe periods; grows with the logarithm of the
    /// number of members.
    #[schemars(range(min = 1, max = 60))]
    pub suspicion_periods: u32,
    /// Time between two rounds of gossip while there are updates to pass on.
    pub gossip_period: units::Period,
    /// Number of nodes that receive the updates in one round.
    #[schemars(range(min = 1, max = 16))]
    pub gossip_fanout: usize,
    /// Maximum size of a gossip message.
    pub gossip_limit: units::Size,
    /// Maximum size of the updates carried by a probe or its answer.
    pub piggyback_limit: units::Size,
    /// Time between two comparisons (anti-entropy) with a random member of the data centre.
    pub compare_period: units::Period,
    /// Time between two comparisons of the highest-ranked members with members of other data centres.
    pub bridge_period: units::Period,
    /// Number of members of each data centre that exchange updates with other data centres.
    #[schemars(range(min = 1, max = 16))]
    pub bridges: usize,
    /// Average number of members per data centre from which probes and gossip stay within each data centre;
    /// with fewer, the mesh is treated as one data centre.
    pub centre_members: usize,
    /// Maximum number of members that a node keeps; further ones are ignored.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub members_limit: usize,
    /// Time for which members that failed or left are kept, so that outdated updates do not revive them.
    pub retention: units::Period,
    /// Period within which many failures count as one event.
    pub herd_window: units::Period,
    /// Share of failed members above which they are shown as suspect rather than dead.
    pub herd_share: units::Share,
    /// Time within which a backend server has to repeat its announcement.
    pub lease: units::Period,
    /// Minimum time between two published views.
    pub view_period: units::Period,
    /// Maximum number of joining nodes that are served the whole view at the same time.
    #[schemars(range(min = 1, max = 1024))]
    pub joiners: usize,
    /// Time between two checks of the seed object by the highest-ranked member.
    pub seed_period: units::Period,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_period: units::Period::from_millis(1000),
            probe_timeout: units::Period::from_millis(300),
            indirect_probes: 3,
            suspicion_periods: 3,
            gossip_period: units::Period::from_millis(100),
            gossip_fanout: 2,
            gossip_limit: units::Size(4096),
            piggyback_limit: units::Size(1024),
            compare_period: units::Period::from_secs(10),
            bridge_period: units::Period::from_secs(3),
            bridges: 3,
            centre_members: 8,
            members_limit: 40_000,
            retention: units::Period::from_secs(2 * 60 * 60),
            herd_window: units::Period::from_secs(30),
            herd_share: DEFAULT_HERD_SHARE,
            lease: units::Period::from_secs(3),
            view_period: units::Period::from_millis(250),
            joiners: 4,
            seed_period: units::Period::from_secs(60),
        }
    }
}

/// 25%.
const DEFAULT_HERD_SHARE: units::Share = match units::Share::from_parts(2500) {
    Some(share) => share,
    None => units::Share::WHOLE,
};

impl Settings {
    /// Adds `findings` that the schema alone cannot detect; `place` is the path of these settings.
    pub fn check(&self, place: &str, findings: &mut findings::Findings) {
        if self.probe_period.0 < self.probe_timeout.0 * 3 {
            let place = format!("{place}/probe_timeout");
            findings.add(
                place,
                "longer than a third of `probe_period`",
                "room for a direct and an indirect probe in one period",
            );
        }
        let periods = [
            ("probe_timeout", self.probe_timeout),
            ("gossip_period", self.gossip_period),
            ("compare_period", self.compare_period),
            ("bridge_period", self.bridge_period),
            ("lease", self.lease),
            ("seed_period", self.seed_period),
        ];
        for (name, period) in periods {
            if period.0.is_zero() {
                findings.add(format!("{place}/{name}"), "zero", "a period above zero");
            }
        }
    }
}
