//! Announcements of backend servers are checked whole.

use node::announce::Notice;
use schema::announce::Announcement;

fn right() -> Announcement {
    Announcement {
        service: "menus".into(),
        version: "v1".into(),
        address: "127.0.0.1:9000".into(),
        slots: 10,
        connections: 110,
        phase: 2,
        healthy: true,
        load: 2_500,
        instance: 7,
    }
}

#[test]
fn decode_right() {
    let notice = Notice::decode(&right()).expect("it is right");
    assert_eq!(notice.backend.phase, membership::Phase::Ready);
    assert_eq!(notice.load.to_string(), "25%");
}

#[test]
fn decode_fault_cases() {
    type Spoil = fn(&mut Announcement);
    let cases: [(&str, Spoil); 7] = [
        ("/address", |one| one.address = "localhost:9000".into()),
        ("/service", |one| one.service = String::new()),
        ("/version", |one| one.version = "a b".into()),
        ("/slots", |one| one.slots = 0),
        ("/connections", |one| one.connections = u32::MAX),
        ("/phase", |one| one.phase = 9),
        ("/phase", |one| one.phase = 0),
    ];
    let mut all = right();
    for (place, spoil) in &cases {
        let mut announcement = right();
        spoil(&mut announcement);
        let findings = Notice::decode(&announcement).expect_err(place);
        assert_eq!(findings.as_slice()[0].place, *place);
        spoil(&mut all);
    }
    let findings = Notice::decode(&all).expect_err("everything is wrong");
    // The two wrong phases exclude each other.
    assert_eq!(findings.as_slice().len(), cases.len() - 1);
}
