//! Overlay network: selects the watchers of the platform and the neighbours of a node.

use std::rc;

use membership::{Member, View};
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3;

/// Hash seed of the watcher ranking.
const WATCH_SEED: u64 = 1;
/// Hash seed of the ranking for writing checkpoints.
const CHECKPOINT_SEED: u64 = 2;
/// Hash seed of the first ring; further rings use the consecutive numbers.
const RING_SEED: u64 = 100;
/// Number of other data centres to which the watchers of a data centre are linked.
const REMOTE_LINKS: usize = 2;

type Neighbour = rc::Rc<Member>;

/// Whether `node` ranks among the first `count` running members of its data centre.
///
/// Ranks are rendezvous hashes (Thaler and Ravishankar, 1998): the failure of a member reassigns only
/// that member's role.
pub(crate) fn is_watcher(
    view: &View,
    node: &units::Node,
    data_centre: &units::DataCentre,
    count: usize,
) -> bool {
    let own = hash(node, WATCH_SEED);
    let higher_ranked = in_data_centre(view, data_centre)
        .filter(|one| one.node != *node && hash(&one.node, WATCH_SEED) > own);
    higher_ranked.take(count).count() < count
}

/// Whether `node` ranks first among all running members for writing checkpoints.
pub(crate) fn is_checkpoint_writer(view: &View, node: &units::Node) -> bool {
    let own = hash(node, CHECKPOINT_SEED);
    let mut others = view.running().filter(|one| one.node != *node);
    others.all(|one| hash(&one.node, CHECKPOINT_SEED) < own)
}

/// Returns the neighbours of `node`: its successor and predecessor in each of `rings` rings.
///
/// The union of some random rings is an expander with high probability (Law and Siu, "Distributed
/// construction of random expander networks", INFOCOM 2003), so every member can be reached in a
/// logarithmic number of hops. Rings depend only on the members, so both ends of a link compute it.
pub(crate) fn neighbours(
    view: &View,
    node: &units::Node,
    data_centre: &units::DataCentre,
    rings: usize,
) -> Vec<Neighbour> {
    let mut found: Vec<Neighbour> = Vec::with_capacity(rings * 2);
    for ring in 0..rings as u64 {
        let seed = RING_SEED + ring;
        let own = hash(node, seed);
        let others = || in_data_centre(view, data_centre).filter(|one| one.node != *node);
        let distance = |one: &&Neighbour| hash(&one.node, seed).wrapping_sub(own);
        found.extend(others().min_by_key(distance).cloned());
        found.extend(others().max_by_key(distance).cloned());
    }
    sort_unique(&mut found);
    found
}

/// Returns the first watcher of each data centre that follows `data_centre` by name, cyclically.
pub(crate) fn remote_neighbours(view: &View, data_centre: &units::DataCentre) -> Vec<Neighbour> {
    let mut data_centres: Vec<_> = view.running().map(|one| &one.data_centre).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    let start = data_centres.partition_point(|name| *name <= data_centre);
    let others = data_centres
        .iter()
        .cycle()
        .skip(start)
        .take(data_centres.len());
    let others = others.filter(|name| **name != data_centre);
    let first_watcher = |name: &&units::DataCentre| {
        in_data_centre(view, name).max_by_key(|one| hash(&one.node, WATCH_SEED))
    };
    let mut found: Vec<_> = others
        .take(REMOTE_LINKS)
        .filter_map(first_watcher)
        .cloned()
        .collect();
    sort_unique(&mut found);
    found
}

/// Returns up to `count` random running members other than `node`, only from `data_centre` if given.
pub(crate) fn random_members(
    view: &View,
    node: &units::Node,
    data_centre: Option<&units::DataCentre>,
    count: usize,
) -> Vec<Neighbour> {
    let is_candidate = |one: &&Neighbour| {
        one.node != *node && data_centre.is_none_or(|wanted| one.data_centre == *wanted)
    };
    let candidates = view.running().filter(is_candidate).cloned();
    candidates.choose_multiple(&mut rand::rng(), count)
}

fn in_data_centre<'v>(
    view: &'v View,
    data_centre: &units::DataCentre,
) -> impl Iterator<Item = &'v Neighbour> {
    view.running()
        .filter(move |one| one.data_centre == *data_centre)
}

fn hash(node: &units::Node, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

fn sort_unique(members: &mut Vec<Neighbour>) {
    members.sort_by(|one, other| one.node.cmp(&other.node));
    members.dedup_by(|one, other| one.node == other.node);
}
