//! What an owner lets through to its backend server: limits, queue, duplicates and poison.

mod announced;
mod crash;
mod crowd;
mod finished;
mod gate;
mod lanes;
mod limit;
mod permit;
mod quota;
mod reason;
mod records;
mod refusal;
mod runtimes;
mod settings;
mod sharing;
mod suspects;
mod urgency;
mod waiting;

pub use announced::Announced;
pub use crash::Crash;
pub use crowd::Crowd;
pub use finished::Finished;
pub use gate::{Ask, Counts, Dump, Gate};
pub use lanes::Lanes;
pub use limit::Limit;
pub use permit::Permit;
pub use quota::{Entry, Quota};
pub use reason::Reason;
pub use records::{End, First, Records, Start, Stored};
pub use refusal::Refusal;
pub use settings::Settings;
pub use sharing::{SERVICE, Sharing};
pub use suspects::{Standing, Suspects};
pub use urgency::{Queue, Urgency};
pub use waiting::Order;
