//! Which nodes watch the platform, and which are neighbours.

use std::rc;

use membership::{Member, View};
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3;

/// Seed of the ranks of watchers.
const WATCH_SEED: u64 = 1;
/// Seed of the rank of the node that writes checkpoints.
const ARCHIVE_SEED: u64 = 2;
/// Seed of the first ring; the others follow.
const RING_SEED: u64 = 100;
/// Data centres to which the watchers of one are linked.
const REMOTE_LINKS: usize = 2;

type Neighbour = rc::Rc<Member>;

/// Whether `node` ranks among the first `count` running members of its data centre.
///
/// Ranks are rendezvous hashes (Thaler and Ravishankar, 1998): a death moves only the dead
/// member's duty.
pub(crate) fn is_watcher(
    view: &View,
    node: &units::Node,
    data_centre: &units::DataCentre,
    count: usize,
) -> bool {
    let own = hash(node, WATCH_SEED);
    let before = local(view, data_centre)
        .filter(|one| one.node != *node && hash(&one.node, WATCH_SEED) > own);
    before.take(count).count() < count
}

/// Whether `node` ranks first among all running members for writing checkpoints.
pub(crate) fn is_archivist(view: &View, node: &units::Node) -> bool {
    let own = hash(node, ARCHIVE_SEED);
    let mut others = view.running().filter(|one| one.node != *node);
    others.all(|one| hash(&one.node, ARCHIVE_SEED) < own)
}

/// The neighbours of `node`: its successor and predecessor in each of `rings` rings.
///
/// The union of some random rings is an expander with high probability (Law and Siu, "Distributed
/// construction of random expander networks", INFOCOM 2003), so that every member is a logarithmic
/// number of hops away. Rings follow from the members alone; both ends find the same link.
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
        let others = || local(view, data_centre).filter(|one| one.node != *node);
        let distance = |one: &&Neighbour| hash(&one.node, seed).wrapping_sub(own);
        found.extend(others().min_by_key(distance).cloned());
        found.extend(others().max_by_key(distance).cloned());
    }
    sort(&mut found);
    found
}

/// The first watcher in each of the data centres that follow `data_centre` by name, cyclically.
pub(crate) fn remote_neighbours(view: &View, data_centre: &units::DataCentre) -> Vec<Neighbour> {
    let mut names: Vec<_> = view.running().map(|one| &one.data_centre).collect();
    names.sort_unstable();
    names.dedup();
    let start = names.partition_point(|name| *name <= data_centre);
    let others = names.iter().cycle().skip(start).take(names.len());
    let others = others.filter(|name| **name != data_centre);
    let first =
        |name: &&units::DataCentre| local(view, name).max_by_key(|one| hash(&one.node, WATCH_SEED));
    let mut found: Vec<_> = others
        .take(REMOTE_LINKS)
        .filter_map(first)
        .cloned()
        .collect();
    sort(&mut found);
    found
}

/// Up to `count` random running members besides `node`, all of them in `data_centre` where given.
pub(crate) fn random_members(
    view: &View,
    node: &units::Node,
    data_centre: Option<&units::DataCentre>,
    count: usize,
) -> Vec<Neighbour> {
    let fits = |one: &&Neighbour| {
        one.node != *node && data_centre.is_none_or(|wanted| one.data_centre == *wanted)
    };
    let candidates = view.running().filter(fits).cloned();
    candidates.choose_multiple(&mut rand::rng(), count)
}

fn local<'v>(
    view: &'v View,
    data_centre: &units::DataCentre,
) -> impl Iterator<Item = &'v Neighbour> {
    view.running()
        .filter(move |one| one.data_centre == *data_centre)
}

fn hash(node: &units::Node, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

fn sort(members: &mut Vec<Neighbour>) {
    members.sort_by(|one, other| one.node.cmp(&other.node));
    members.dedup_by(|one, other| one.node == other.node);
}
