//! Mailboxes are bounded and say why they refuse.

use futures_util::FutureExt;
use kernel::Error;

#[test]
fn send_until_full() {
    let (mailbox, mut inbox) = kernel::mailbox(2);
    assert_eq!(mailbox.send(1), Ok(()));
    assert_eq!(mailbox.send(2), Ok(()));
    assert_eq!(mailbox.offer(3), Err((Error::Full, 3)));
    assert_eq!(inbox.receive().now_or_never(), Some(Some(1)));
    assert_eq!(mailbox.send(3), Ok(()));
}

#[test]
fn close_returns_waiting() {
    let (mailbox, inbox) = kernel::mailbox(4);
    mailbox.send("left").expect("there is room");
    assert_eq!(inbox.close(), ["left"]);
    assert_eq!(mailbox.send("late"), Err(Error::Closed));
}
