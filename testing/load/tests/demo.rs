//! The demonstration of the whole path, on the programs that `cargo build --workspace --bins` made.

use std::process;

#[test]
fn demo_ends_well() {
    let ended = process::Command::new(env!("CARGO_BIN_EXE_radishgap-load"))
        .arg("demo")
        .output()
        .expect("process");
    let text = String::from_utf8_lossy(&ended.stdout);
    let errors = String::from_utf8_lossy(&ended.stderr);
    assert!(ended.status.success(), "{text}\n{errors}");
    assert!(
        text.ends_with("Done: every step was seen to work\n"),
        "{text}"
    );
}
