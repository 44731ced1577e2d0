//! Faults that the control port switches.

use serde::{Deserialize, Serialize};

units::record! {
    /// Faults that the platform shows; none by default.
    #[derive(Copy, Default, Serialize, Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Every call is refused unexecuted, and waiting watches break off.
        pub outage: bool,
        /// Every call takes this much longer, in milliseconds.
        pub slow_ms: u64,
        /// Fraction of the writes that take effect and lose their answer, from 0 to 1.
        pub lose_answers: f64,
        /// Waiting watches break off, and new ones too, until this is switched off.
        pub drop_watches: bool,
    }
}
