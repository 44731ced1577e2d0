//! Panics of threads are counted.

use telemetry::Panics;

#[test]
fn panic_of_thread_counted() {
    Panics::watch();
    let before = Panics::count().panics;
    let ended = std::thread::spawn(|| panic!("on purpose")).join();
    assert!(ended.is_err());
    assert_eq!(Panics::count().panics, before + 1);
}
