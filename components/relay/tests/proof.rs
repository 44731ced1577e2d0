//! Tests of the proof that the state in force is complete, without a network.

use std::time::Duration;

use platform::{Revision, proven_by_watch};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use relay::{Limits, Proof};
use units::Uptime;

const REVOCATION: Duration = Duration::from_secs(5);
const LIMITS: Limits = Limits {
    current: Duration::from_secs(1),
    revocation: REVOCATION,
};

fn at(millis: u64) -> Uptime {
    Uptime(Duration::from_millis(millis))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn age_of_started_node_is_unknown() {
    let proof = Proof::default();
    assert_eq!(proof.age(at(0)), None);
    assert!(!LIMITS.allows(proof.age(at(0))));
}

#[test]
fn allows_without_strict_revocation() {
    let limits = Limits {
        revocation: Duration::ZERO,
        ..LIMITS
    };
    assert!(limits.allows(None));
    assert!(limits.allows(Some(Duration::from_secs(3_600))));
}

#[test]
fn record_counts_once_applied() {
    let mut proof = Proof::default();
    proof.record(at(1_000), Revision(7));
    assert_eq!(proof.feed_age(at(1_500)), Some(ms(500)));
    assert_eq!(
        proof.age(at(1_500)),
        None,
        "the mirror lags behind the feed"
    );
    proof.apply(Revision(6));
    assert_eq!(proof.age(at(1_500)), None);
    proof.apply(Revision(7));
    assert_eq!(proof.age(at(1_500)), Some(ms(500)));
}

#[test]
fn record_of_changed_feed_keeps_what_is_in_force() {
    let mut proof = Proof::default();
    proof.apply(Revision(7));
    proof.record(at(1_000), Revision(7));
    proof.record(at(2_000), Revision(8));
    assert_eq!(proof.age(at(2_000)), Some(ms(1_000)));
    proof.apply(Revision(8));
    assert_eq!(proof.age(at(2_000)), Some(ms(0)));
}

#[test]
fn record_of_delayed_answer_does_not_go_back() {
    let mut proof = Proof::default();
    proof.apply(Revision(7));
    proof.record(at(2_000), Revision(7));
    proof.record(at(1_000), Revision(7));
    assert_eq!(proof.age(at(2_500)), Some(ms(500)));
}

/// A node that was frozen accepted keys by what it had known before.
#[test]
fn allows_nothing_after_clock_jump() {
    let mut proof = Proof::default();
    proof.apply(Revision(7));
    proof.record(at(1_000), Revision(7));
    assert!(LIMITS.allows(proof.age(at(1_000) + REVOCATION.mul_f64(0.8))));
    assert!(!LIMITS.allows(proof.age(at(1_000) + REVOCATION)));
    assert!(!LIMITS.allows(proof.age(at(1_000) + Duration::from_secs(60))));
}

#[test]
fn proven_by_watch_cases() {
    let wait = ms(600);
    // Sent, empty, answered, proven.
    let cases = [
        (1_000, true, 1_600, 1_600),
        (1_000, true, 1_650, 1_600),
        // The answer lay in a socket.
        (1_000, true, 9_000, 1_600),
        // Cut off before its time.
        (1_000, true, 1_300, 1_000),
        // It told of a change, at whatever time.
        (1_000, false, 1_300, 1_000),
        (1_000, false, 9_000, 1_000),
    ];
    for (sent, is_empty, answered, proven) in cases {
        let got = proven_by_watch(at(sent), wait, is_empty, at(answered));
        assert_eq!(got, at(proven), "{sent} {is_empty} {answered}");
    }
}

/// A chain of nodes: the first asks the store, each other one the node before it. Questions, answers and
/// the mirror take any time, nodes freeze and start anew.
struct Chain {
    rng: StdRng,
    /// Times at which the store acknowledged the revisions 1, 2, ...
    acknowledged: Vec<u64>,
    nodes: Vec<Node>,
}

#[derive(Default, Clone)]
struct Node {
    proof: Proof,
    feed: u64,
    in_force: u64,
    frozen_until: u64,
    /// Question and the answer to it: asked, answer arrives, age at the answer, head.
    asked: Option<(u64, u64, Option<Duration>, u64)>,
}

impl Chain {
    const STEP_MS: u64 = 10;
    const LONGEST_MS: u64 = 8_000;

    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            acknowledged: vec![0],
            nodes: vec![Node::default(); 4],
        }
    }

    fn step(&mut self, now: u64) {
        if self.rng.random_bool(0.01) {
            self.acknowledged.push(now);
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].frozen_until > now {
                continue;
            }
            self.work(index, now);
            let may_freeze = self.rng.random_bool(0.001);
            let frozen = self.rng.random_range(0..Self::LONGEST_MS);
            let node = &mut self.nodes[index];
            if may_freeze {
                node.frozen_until = now + frozen;
            }
            if self.rng.random_bool(0.0005) {
                *node = Node::default();
            }
        }
    }

    fn work(&mut self, index: usize, now: u64) {
        let head = self.acknowledged.len() as u64;
        let node = &mut self.nodes[index];
        if node.in_force < node.feed && self.rng.random_bool(0.3) {
            node.in_force = node.feed;
            node.proof.apply(Revision(node.in_force));
        }
        match node.asked.take() {
            Some((asked, arrives, age, head)) if arrives <= now => {
                node.feed = node.feed.max(head);
                if let Some(proven) = age.and_then(|age| at(asked).checked_sub(age)) {
                    node.proof.record(proven, Revision(node.feed));
                }
            }
            Some(waiting) => node.asked = Some(waiting),
            None => {
                let (age, head) = match index {
                    0 => (Some(Duration::ZERO), head),
                    _ => {
                        let before = &self.nodes[index - 1];
                        (before.proof.feed_age(at(now)), before.feed)
                    }
                };
                let long = self.rng.random_bool(0.02);
                let most = if long { Self::LONGEST_MS } else { 600 };
                let arrives = now + self.rng.random_range(0..most);
                // The question may have waited before the answer was given.
                let waited = self.rng.random_range(0..300.min(now + 1));
                self.nodes[index].asked = Some((now - waited, arrives, age, head));
            }
        }
    }

    /// Newest revision that must be in force where a key is accepted at `now`.
    fn wanted(&self, now: u64) -> u64 {
        let limit = units::millis(REVOCATION);
        let old = self.acknowledged.iter().filter(|at| **at + limit < now);
        old.count() as u64
    }
}

/// A withdrawn key that a node accepted later than the bound.
#[test]
fn seeded_chains_accept_no_key_after_bound() {
    let mut accepted = 0;
    for seed in 0..30 {
        let mut chain = Chain::new(seed);
        for now in (0..60_000).step_by(Chain::STEP_MS as usize) {
            chain.step(now);
            let wanted = chain.wanted(now);
            for (index, node) in chain.nodes.iter().enumerate() {
                let runs = node.frozen_until <= now;
                if runs && LIMITS.allows(node.proof.age(at(now))) {
                    accepted += 1;
                    assert!(
                        node.in_force >= wanted,
                        "seed {seed}, node {index} at {now} ms: {} in force, {wanted} wanted",
                        node.in_force
                    );
                }
            }
        }
    }
    assert!(accepted > 0, "no key was ever accepted");
}
