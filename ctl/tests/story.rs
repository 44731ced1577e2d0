//! The story of a request from the lines of several processes.

use std::io::Cursor;

use radishgapctl::console::Show;
use radishgapctl::story::Story;

const INGRESS: &str = r#"
   1.02 n1 {"time":"00:00:01.000Z","level":"INFO","process":"n1","module":"m","message":"configuration in force","version":7}
   1.03 n1 {"time":"00:00:01.100Z","level":"INFO","process":"n1","module":"m","message":"request sent again","event":"request-retried","request":"a1","node":"n2","reason":"queue-full","attempts":1}
   1.04 n1 {"time":"00:00:01.110Z","level":"INFO","process":"n1","module":"m","message":"request answered by the system","event":"request-ended","request":"b7","reason":"too-late"}
   1.05 n1 {"time":"00:00:01.300Z","level":"INFO","process":"n1","module":"m","message":"request answered by the system","event":"request-ended","request":"a1","reason":"too-late","outcome":"not-run"}
   1.06 n1 {"time":"00:00:01.400Z","level":"INFO","process":"n1","module":"m","message":"configuration in force","version":8}
not a line
"#;
const OWNER: &str = r#"
{"time":"00:00:01.090Z","level":"INFO","process":"n2","module":"m","message":"request refused by the owner","event":"request-refused","request":"a1.3f","reason":"queue-full"}
{"time":"00:00:01.050Z","level":"INFO","process":"n3","module":"m","message":"node started"}
"#;

fn story(request: &str) -> Story {
    let sources = [INGRESS, OWNER].map(|text| Box::new(Cursor::new(text)) as _);
    Story::read(request, sources.into()).expect("the lines are read")
}

#[test]
fn read_over_processes() {
    insta::assert_snapshot!(story("a1").table());
}

#[test]
fn read_unknown_request() {
    let unknown = story("a");
    assert!(unknown.lines.is_empty());
    assert_eq!(unknown.table(), "no line names the request a");
}
