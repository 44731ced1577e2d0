//! Entries of other writers that make no sense hide none of the others.

use platform::{Answer, Event, Form, Native};

/// Odd entries: deep nesting, a number out of range, missing and other fields, a value that is no base64.
fn odd_objects() -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    vec![
        format!(r#"{{"key":"seeds/odd","revision":3,"value":"","more":{deep}}}"#),
        format!(r#"{{"key":"seeds/odd","revision":3,"value":{deep}}}"#),
        r#"{"key":"seeds/odd","revision":1e400,"value":""}"#.into(),
        r#"{"key":"seeds/odd","revision":-1,"value":""}"#.into(),
        r#"{"key":7,"revision":3,"value":""}"#.into(),
        r#"{"key":"seeds/odd","revision":3,"value":"***"}"#.into(),
        r#"{"key":"","revision":3,"value":""}"#.into(),
        deep,
        "1e400".into(),
        "null".into(),
    ]
}

const SOUND: &str = r#"{"key":"seeds/sound","revision":4,"value":""}"#;

fn answer(body: String) -> Answer {
    Answer {
        status: http::StatusCode::OK,
        era: platform::Era::default(),
        headers: http::HeaderMap::new(),
        body: body.into(),
    }
}

/// Guards against a node that cannot read a list any more for one entry of another writer.
#[test]
fn page_with_odd_object_has_the_others() {
    for odd in odd_objects() {
        let body = format!(r#"{{"revision":9,"objects":[{odd},{SOUND}]}}"#);
        let start: String = odd.chars().take(60).collect();
        let page = Native.page("seeds/", &answer(body)).expect(&start);
        let sound = page.listing.objects.iter();
        let count = sound
            .filter(|object| object.key.as_str() == "seeds/sound")
            .count();
        assert_eq!(count, 1, "{start}");
    }
}

/// Guards against a node that stops following a prefix for one entry of another writer.
#[test]
fn events_with_odd_event_have_the_others() {
    for odd in odd_objects() {
        let sound = format!(r#"{{"put":{SOUND}}}"#);
        let put = format!(r#"{{"put":{odd}}}"#);
        for odd in [odd, put] {
            let body = format!(r#"{{"revision":9,"events":[{odd},{sound}]}}"#);
            let start: String = odd.chars().take(60).collect();
            let events = Native.events("seeds/", &answer(body)).expect(&start).events;
            let put = events.iter().filter(|event| match event {
                Event::Put(object) => object.key.as_str() == "seeds/sound",
                Event::Removed(..) => false,
            });
            assert_eq!(put.count(), 1, "{start}");
        }
    }
}
