//! Tokens and votes of one wallet.

use std::time::Duration;

use quota::{Intervals, Limit, Settings, Take, Wallet};
use schema::quota as wire;
use units::{Node, Uptime};

const START: Uptime = Uptime(Duration::from_secs(1_000));

fn at(millis: u64) -> Uptime {
    START + Duration::from_millis(millis)
}

fn nodes(names: &[&str]) -> Vec<Node> {
    let nodes = names.iter().map(|name| name.parse().expect("a node"));
    nodes.collect()
}

fn intervals() -> Intervals {
    Settings::default().intervals(3)
}

fn wallet() -> Wallet {
    let workspace = config::Workspace {
        name: "w".into(),
        rate: units::Rate(100.0),
        ..config::Workspace::default()
    };
    let limits = Limit::of(&[workspace], &Settings::default().terms());
    let mut wallet = Wallet::new(7, START);
    wallet.configure(&limits, START);
    wallet.arrive(quota::hash("w"), START);
    wallet
}

fn reply(term: u64, stamp: u64, tokens: u32) -> wire::Reply {
    wire::Reply {
        granter: 9,
        stamp,
        term,
        ask: String::new(),
        grants: vec![wire::Grant {
            workspace: quota::hash("w"),
            tokens,
            room_ms: 0,
        }],
    }
}

/// Sends the report that is due at `millis`.
fn report(wallet: &mut Wallet, names: &[&str], millis: u64) -> quota::Sent {
    let sent = wallet.report(&nodes(names), 3, true, intervals(), at(millis));
    sent.expect("a report")
}

#[test]
fn take_finds_no_token_after_the_lapse() {
    let mut wallet = wallet();
    let sent = report(&mut wallet, &["a"], 0);
    wallet.apply(sent.report.sequence, &reply(1, 5, 2), intervals(), at(10));
    let taken = wallet.take(quota::hash("w"), at(20));
    assert!(matches!(taken, Take::Taken(_)), "{taken:?}");
    let lapse = u64::try_from(intervals().ttl().as_millis()).expect("a short time");
    assert_eq!(wallet.take(quota::hash("w"), at(lapse)), Take::Missing);
}

#[test]
fn apply_ignores_the_reply_to_an_earlier_report() {
    let mut wallet = wallet();
    let first = report(&mut wallet, &["a"], 0);
    wallet.fail(first.report.sequence, intervals(), at(300));
    let second = report(&mut wallet, &["a"], 400);
    wallet.apply(first.report.sequence, &reply(1, 5, 9), intervals(), at(410));
    assert_eq!(wallet.take(quota::hash("w"), at(420)), Take::Missing);
    wallet.apply(
        second.report.sequence,
        &reply(1, 6, 1),
        intervals(),
        at(430),
    );
    let taken = wallet.take(quota::hash("w"), at(440));
    assert!(matches!(taken, Take::Taken(_)), "{taken:?}");
}

#[test]
fn give_back_has_no_effect_once_a_report_counted_the_token_as_used() {
    let mut wallet = wallet();
    let workspace = quota::hash("w");
    let sent = report(&mut wallet, &["a"], 0);
    wallet.apply(sent.report.sequence, &reply(1, 5, 2), intervals(), at(10));
    let (Take::Taken(one), Take::Taken(two)) = (
        wallet.take(workspace, at(20)),
        wallet.take(workspace, at(20)),
    ) else {
        panic!("two tokens");
    };
    assert!(wallet.give_back(workspace, one, at(30)));
    let sent = report(&mut wallet, &["a"], 410);
    assert_eq!(sent.report.wants[0].held + sent.report.wants[0].returned, 1);
    assert!(!wallet.give_back(workspace, two, at(420)));
}

#[test]
fn report_is_no_vote_in_the_first_ttl_of_a_process() {
    let mut wallet = wallet();
    let ttl = u64::try_from(intervals().ttl().as_millis()).expect("a short time");
    let mut millis = 0;
    while millis < ttl {
        let sent = report(&mut wallet, &["a"], millis);
        assert_eq!(sent.report.granter, 0, "at {millis} ms");
        wallet.apply(
            sent.report.sequence,
            &reply(1, 5, 0),
            intervals(),
            at(millis),
        );
        millis += 400;
    }
    let sent = report(&mut wallet, &["a"], millis);
    assert_eq!((sent.report.granter, sent.report.stamp), (9, 5));
}

#[test]
fn report_is_no_vote_for_another_node_before_the_last_vote_has_lapsed() {
    for is_answered in [true, false] {
        let mut wallet = wallet();
        let first = report(&mut wallet, &["a"], 2_000);
        let answer = reply(1, 5, 0);
        wallet.apply(first.report.sequence, &answer, intervals(), at(2_000));
        let vote = report(&mut wallet, &["a"], 2_400);
        assert_eq!(vote.report.granter, 9);
        match is_answered {
            true => wallet.apply(
                vote.report.sequence,
                &reply(0, 6, 0),
                intervals(),
                at(2_400),
            ),
            false => wallet.fail(vote.report.sequence, intervals(), at(2_400)),
        }
        let end = 2_400 + u64::try_from(intervals().ttl().as_millis()).expect("a short time");
        let voted = first_vote_for_b(&mut wallet, is_answered);
        assert!(
            voted.is_some_and(|millis| millis >= end),
            "{voted:?}, not before {end}"
        );
    }
}

/// Time of the first vote for node b, which is the only candidate and answers; node a only answers if
/// `is_answered`.
fn first_vote_for_b(wallet: &mut Wallet, is_answered: bool) -> Option<u64> {
    let candidates = nodes(&["b"]);
    for millis in (2_405..6_000).step_by(5) {
        let sent = wallet.report(&candidates, 3, true, intervals(), at(millis));
        let Some(sent) = sent else {
            continue;
        };
        let sequence = sent.report.sequence;
        if sent.to != candidates[0] && !is_answered {
            wallet.fail(sequence, intervals(), at(millis));
            continue;
        }
        if sent.to == candidates[0] && sent.report.granter != 0 {
            return Some(millis);
        }
        wallet.apply(sequence, &reply(0, 7, 0), intervals(), at(millis));
    }
    None
}
