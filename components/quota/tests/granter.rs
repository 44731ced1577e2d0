//! Votes and leases at one granter.

use std::time::Duration;

use membership::{Member, State};
use quota::{Granter, Limit, Settings};
use schema::quota as wire;
use units::{Node, Uptime};

const START: Uptime = Uptime(Duration::from_secs(1_000));
const ID: u64 = 9;

fn at(millis: u64) -> Uptime {
    START + Duration::from_millis(millis)
}

fn node(index: usize) -> Node {
    format!("n{index}").parse().expect("a node")
}

fn member(index: usize, state: State) -> Member {
    let any: units::Address = "127.0.0.1:1".parse().expect("an address");
    Member {
        node: node(index),
        data_centre: "ba".parse().expect("a data centre"),
        peer_address: any,
        mesh_address: any,
        incarnation: 1,
        state,
        backend: None,
    }
}

fn limits(names: &[&str]) -> Vec<Limit> {
    let workspaces = names.iter().map(|name| config::Workspace {
        name: (*name).into(),
        rate: units::Rate(100.0),
        burst: 10,
        ..config::Workspace::default()
    });
    let workspaces: Vec<_> = workspaces.collect();
    Limit::of(&workspaces, &Settings::default().terms())
}

fn granter(members: usize) -> Granter {
    let mut granter = Granter::new(ID, Settings::default());
    granter.configure(limits(&["w"]), START);
    let members: Vec<_> = (0..members).map(|one| member(one, State::Alive)).collect();
    granter.observe(members.iter(), START);
    granter
}

/// A report of wallet `index` that echoes `stamp`, if any.
fn report(index: usize, sequence: u64, stamp: Option<u64>) -> wire::Report {
    wire::Report {
        wallet: index as u64 + 1,
        sequence,
        granter: stamp.map_or(0, |_| ID),
        stamp: stamp.unwrap_or_default(),
        term: 0,
        members: 3,
        wants: Vec::new(),
        ttl_ms: 1_200,
    }
}

fn want(held: u32, returned: u32, waiting: u32) -> wire::Want {
    wire::Want {
        workspace: quota::hash("w"),
        held,
        returned,
        waiting,
        ahead: 0,
        arrived: 0,
    }
}

/// Votes of nodes 0 and 1 of three begin a term; returns it.
fn begin(granter: &mut Granter) -> u64 {
    let stamp = granter.receive(&node(0), &report(0, 1, None), at(0)).stamp;
    assert!(!granter.is_granting());
    let _ = granter.receive(&node(0), &report(0, 2, Some(stamp)), at(10));
    assert!(!granter.is_granting());
    let reply = granter.receive(&node(1), &report(1, 1, Some(stamp)), at(10));
    assert!(granter.is_granting());
    reply.term
}

fn level(granter: &Granter) -> f64 {
    granter.buckets().map(quota::Bucket::level).sum()
}

fn leased(granter: &Granter) -> u32 {
    granter.buckets().map(quota::Bucket::leased).sum()
}

#[test]
fn receive_begins_a_term_empty_and_ends_it_when_the_votes_lapse() {
    let mut granter = granter(3);
    begin(&mut granter);
    assert_eq!(level(&granter), 0.0);
    granter.settle(at(1_199));
    assert!(granter.is_granting());
    // The stamp is of time 0.
    granter.settle(at(1_200));
    assert!(!granter.is_granting());
}

#[test]
fn receive_counts_no_vote_for_an_earlier_process() {
    let mut granter = granter(1);
    let mut vote = report(0, 1, Some(5));
    vote.granter = ID + 1;
    let _ = granter.receive(&node(0), &vote, at(0));
    assert!(!granter.is_granting());
}

#[test]
fn receive_believes_a_voter_that_knows_more_members() {
    let mut granter = granter(3);
    let stamp = granter.receive(&node(0), &report(0, 1, None), at(0)).stamp;
    let mut vote = report(0, 2, Some(stamp));
    vote.members = 4;
    let _ = granter.receive(&node(0), &vote, at(10));
    let _ = granter.receive(&node(1), &report(1, 1, Some(stamp)), at(10));
    assert!(!granter.is_granting());
    let _ = granter.receive(&node(2), &report(2, 1, Some(stamp)), at(10));
    assert!(granter.is_granting());
}

#[test]
fn settle_counts_dead_members_for_a_while() {
    let mut granter = granter(5);
    let dead: Vec<_> = (2..5).map(|one| member(one, State::Dead)).collect();
    granter.observe(dead.iter(), at(1));
    let stamp = granter.receive(&node(0), &report(0, 1, None), at(1)).stamp;
    let _ = granter.receive(&node(0), &report(0, 2, Some(stamp)), at(10));
    let _ = granter.receive(&node(1), &report(1, 1, Some(stamp)), at(10));
    assert!(!granter.is_granting());
}

#[test]
fn receive_counts_what_a_lost_reply_granted_as_used() {
    let mut granter = granter(3);
    let term = begin(&mut granter);
    let mut first = report(0, 3, None);
    first.wants = vec![want(0, 0, 20)];
    let reply = granter.receive(&node(0), &first, at(510));
    assert_eq!(reply.grants[0].tokens, 20);
    let before = level(&granter);
    let mut second = report(0, 4, None);
    second.term = term;
    second.wants = vec![want(0, 0, 0)];
    let _ = granter.receive(&node(0), &second, at(510));
    assert_eq!((leased(&granter), level(&granter)), (0, before));
}

#[test]
fn receive_takes_returned_tokens_back_but_never_more_than_were_leased() {
    let mut granter = granter(3);
    let term = begin(&mut granter);
    let mut first = report(0, 3, None);
    first.wants = vec![want(0, 0, 20)];
    let _ = granter.receive(&node(0), &first, at(510));
    let before = level(&granter);
    let mut second = report(0, 4, None);
    second.term = term;
    second.wants = vec![want(12, 50, 0)];
    let reply = granter.receive(&node(0), &second, at(510));
    assert_eq!(reply.grants[0].tokens, 12);
    assert_eq!((leased(&granter), level(&granter)), (12, before + 8.0));
}

#[test]
fn receive_grants_nothing_for_a_report_that_was_overtaken() {
    let mut granter = granter(3);
    begin(&mut granter);
    let mut late = report(0, 2, None);
    late.wants = vec![want(0, 0, 5)];
    let reply = granter.receive(&node(0), &late, at(510));
    assert_eq!((reply.term, reply.grants.len()), (0, 0));
    assert_eq!(leased(&granter), 0);
}

#[test]
fn receive_counts_level_and_leased_tokens_against_one_capacity() {
    let mut granter = granter(3);
    let term = begin(&mut granter);
    let capacity = limits(&["w"])[0].capacity;
    let mut held = 0;
    for sequence in 3..40 {
        let millis = sequence * 300;
        let stamp = granter.receive(&node(1), &report(1, sequence, None), at(millis - 290));
        let _ = granter.receive(
            &node(1),
            &report(1, sequence + 1, Some(stamp.stamp)),
            at(millis),
        );
        let mut one = report(0, sequence, Some(stamp.stamp));
        one.term = term;
        one.wants = vec![want(held, 0, 30)];
        let reply = granter.receive(&node(0), &one, at(millis));
        held = reply.grants.first().map_or(0, |grant| grant.tokens);
        let sum = level(&granter) + f64::from(leased(&granter));
        assert!(sum <= capacity, "{sum} above {capacity}");
    }
}

#[test]
fn configure_fills_a_new_workspace_only_in_a_term_that_has_lasted() {
    for (millis, is_full) in [(1_000, false), (10_010, true)] {
        let mut granter = granter(3);
        begin(&mut granter);
        for sequence in 3..=(millis / 500 + 3) {
            for index in 0..2 {
                let now = at(sequence * 500 - 1_490);
                let stamp = u64::try_from(now.0.as_micros()).expect("a short time");
                let _ = granter.receive(&node(index), &report(index, sequence, Some(stamp)), now);
            }
        }
        assert!(granter.is_granting());
        granter.configure(limits(&["v", "w"]), at(millis));
        let added = granter.buckets().find(|one| one.limit().name == "v");
        let level = added.expect("a bucket").level();
        assert_eq!(level > 0.0, is_full, "{level} after {millis} ms");
    }
}
