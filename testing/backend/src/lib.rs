//! Stand-in for a backend server: cold starts, shedding, drain, lying announcements, bad versions,
//! crashes, and a record of every request that it ran.

mod announcer;
mod answer;
mod control;
mod duty;
mod fault;
mod headers;
mod record;
mod run;
mod server;
mod settings;
mod state;

pub use announcer::Announcer;
pub use answer::{fill, sum};
pub use control::Control;
pub use duty::Duty;
pub use fault::{Bad, Effect, Faults, Health, Load, Onset};
pub use headers::Headers;
pub use record::{Counts, Record};
pub use run::{Ending, Event, Run};
pub use server::{Name, Server};
pub use settings::{ColdStart, Distribution, ServiceTime, Settings};
pub use state::{Changes, Hints, State};
