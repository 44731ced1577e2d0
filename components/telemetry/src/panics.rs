//! Panics of tasks and threads, as log lines.

use std::panic;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

static SEEN: AtomicU64 = AtomicU64::new(0);

/// Panics of this process since it began to watch for them.
///
/// A task that panics ends alone, with whatever it held; only its line and this count tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Panics {
    /// How many there were.
    pub panics: u64,
}

impl Panics {
    /// Writes a log line for each panic from now on, in place of text on standard error.
    pub fn watch() {
        panic::set_hook(Box::new(tell));
    }

    /// The count up to now.
    #[must_use]
    pub fn count() -> Self {
        Self {
            panics: SEEN.load(Ordering::Relaxed),
        }
    }
}

fn tell(info: &panic::PanicHookInfo<'_>) {
    SEEN.fetch_add(1, Ordering::Relaxed);
    let place = info.location().map(ToString::to_string);
    let reason = info.payload_as_str().unwrap_or("no text");
    log::error!(event = "panicked", place = place.as_deref().unwrap_or_default(),
        reason = reason; "a task panicked");
    log::logger().flush();
}
