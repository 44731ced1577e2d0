//! Texts of the commands.

use radishgapctl::console::{Console, Format, Show};
use radishgapctl::document::Document;
use radishgapctl::{cli, view};
use schema::operator as wire;

fn render<T: Show>(value: &T) -> String {
    let formats = [Format::Table, Format::Json];
    let texts = formats.map(|format| Console { format }.render(value));
    texts.join("\n----\n")
}

fn sample_move() -> wire::Move {
    wire::Move {
        id: "5f".to_owned(),
        service: "bookdesk".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        deadline_ms: 1_796_335_200_000,
        state: wire::r#move::State::Running.into(),
        share: 500,
        reason: String::new(),
        next_share: 2_000,
        next_step_ms: 1_796_334_000_000,
        evidence: vec![wire::RouteEvidence {
            route: "book".to_owned(),
            old_requests: 1_000,
            old_failures: 2,
            old_latency_ms: 4.25,
            new_requests: 52,
            new_failures: 0,
            new_latency_ms: 4.5,
            verdict: "collecting".to_owned(),
        }],
        started_ms: 1_796_333_400_000,
        ended_ms: 0,
        runner: "n3".to_owned(),
    }
}

#[test]
fn help_of_all_commands() {
    let mut command = cli::command().term_width(100);
    let mut texts = vec![command.render_long_help().to_string()];
    command.build();
    for inner in command.get_subcommands_mut() {
        texts.push(inner.render_help().to_string());
        for innermost in inner.get_subcommands_mut() {
            texts.push(innermost.render_help().to_string());
        }
    }
    insta::assert_snapshot!(texts.join("\n========\n"));
}

#[test]
fn show_move_running() {
    insta::assert_snapshot!(render(&view::Move::from(sample_move())));
}

#[test]
fn show_move_ended() {
    let ended = wire::Move {
        state: wire::r#move::State::TakenBack.into(),
        share: 0,
        next_share: 0,
        next_step_ms: 0,
        ended_ms: 1_796_333_500_000,
        reason: "route `book`: more failures than v1".to_owned(),
        ..sample_move()
    };
    let moves = view::List(vec![ended.clone().into(), sample_move().into()]);
    let progress = view::Progress(ended.clone().into());
    let texts = [
        view::Move::from(ended).table(),
        moves.table(),
        progress.table(),
    ];
    insta::assert_snapshot!(texts.join("\n----\n"));
}

#[test]
fn show_status_behind() {
    let behind = |node: &str, version, refused: &str| wire::NodeStatus {
        node: node.to_owned(),
        data_centre: "nadi".to_owned(),
        version,
        refused: refused.to_owned(),
    };
    let reply = wire::StatusReply {
        version: 9,
        in_force: 1,
        nodes: 3,
        behind: vec![behind("n2", 8, ""), behind("n3", 0, "")],
    };
    insta::assert_snapshot!(render(&view::Status::from(reply)));
}

#[test]
fn show_difference() {
    let held = r#"{"services": [{"name": "a", "weights": [{"version": "v1", "share": "100%"}]}],
        "routes": [{"name": "old", "path_prefix": "/old", "service": "a"}]}"#;
    let held: Document = settings::parse(held).expect("it is valid");
    let held = held.change("op-1".parse().expect("it is an id"));
    let held = config::Snapshot::default().apply_all(&[held]);
    let held = held.expect("it is accepted");
    let wanted = r#"{"services": [{"name": "a", "weights": [{"version": "v1", "share": "95%"}, {"version": "v2", "share": "5%"}]}],
        "routes": [{"name": "new", "path_prefix": "/new", "service": "a"}], "remove": {"routes": ["old"]}}"#;
    let wanted: Document = settings::parse(wanted).expect("it is valid");
    let difference = view::Difference::between(&wanted, &held);
    insta::assert_snapshot!(render(&difference));
    insta::assert_snapshot!(render(&view::Configuration::from(&held)));
}
