//! Faults of the fake store.

use std::time;

units::record! { eq:
    /// Faults that the fake store shows; none by default.
    #[derive(Default)]
    pub struct Faults {
        /// Every call is refused unexecuted.
        pub outage: bool,
        /// Every call takes this long.
        pub slow: time::Duration,
        /// Every call is refused with this wait.
        pub throttled: Option<time::Duration>,
        /// So many of the next writes take effect and lose their answer.
        pub lost_answers: u32,
        /// So many of the next writes are lost on the way; their caller cannot tell either.
        pub lost_requests: u32,
        /// Every watch finds its history gone.
        pub gone: bool,
        /// Every watch that waits stays silent for good.
        pub silent_watches: bool,
    }
}
