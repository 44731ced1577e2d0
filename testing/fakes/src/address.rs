//! Addresses for listeners of tests that have to know them before they listen.

use std::io;
use std::net;
use std::process;
use std::sync::atomic::{AtomicU8, Ordering};

static CALLS: AtomicU8 = AtomicU8::new(1);

/// A loopback address that nothing listens on.
///
/// Its host belongs to this process and call, so that a test in another process, or an outgoing
/// connection on the usual host, does not take the port meanwhile.
///
/// # Errors
/// The error of the operating system.
pub fn free_address() -> io::Result<units::Address> {
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let process = process::id().to_be_bytes();
    let host = net::Ipv4Addr::new(127, process[2] | 0x80, process[3], call);
    let listener = net::TcpListener::bind((host, 0))?;
    listener.local_addr().map(units::Address)
}
