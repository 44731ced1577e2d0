//! Tests of the stop signal.

use std::time::Duration;

#[compio::test]
async fn sleep_of_no_time_after_the_stop_does_not_go_on() {
    let (trigger, stop) = kernel::stop();
    assert!(stop.sleep(Duration::ZERO).await);
    trigger.fire();
    assert!(!stop.sleep(Duration::ZERO).await);
}
