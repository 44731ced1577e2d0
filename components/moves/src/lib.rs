//! Moves shift the traffic of a service from one version to another by a deadline. Each move ends
//! either done or taken back.
//!
//! The platform object `move/<id>` holds the state of a move; its end is written once. A node runs
//! the moves of a shard while it holds the shard's lease. It takes steps that are scheduled
//! backwards from the deadline ([`Plan`]). Each step requires evidence from sequential tests
//! ([`Judge`]) on the requests to both versions that nodes observed over the same time. A bad
//! version is withheld on all nodes at once by gossip, even while the platform is down.

mod alarm;
mod analysis;
mod block;
pub mod canary;
mod catalogue;
mod command;
pub mod contrast;
mod counts;
mod crashes;
mod detector;
mod dump;
mod election;
mod evidence;
mod fleets;
mod gather;
mod gossip;
mod health;
mod histogram;
mod id;
mod index;
mod judge;
mod meter;
mod parts;
mod plan;
mod policy;
mod rank;
mod record;
mod recorder;
mod refusal;
mod run;
mod runner;
mod serve;
mod service;
mod settings;
mod shard;
mod shared;
pub mod shares;
mod sync;
mod tally;
mod tenure;
mod trial;
mod trials;
mod view;
mod watcher;
mod writer;

pub use alarm::Alarm;
pub use analysis::Analysis;
pub use catalogue::{Catalogue, Entry, Merged};
pub use command::{Answer, Command, Start};
pub use counts::Counts;
pub use crashes::{Crashes, Fleet};
pub use detector::Detector;
pub use dump::Dump;
pub use evidence::{Evidence, Pair};
pub use health::Health;
pub use histogram::Histogram;
pub use id::Id;
pub use judge::Judge;
pub use meter::Meter;
pub use parts::Parts;
pub use plan::Plan;
pub use policy::{Action, Facts, Policy};
pub use record::{Record, State};
pub use recorder::{RecordedMove, Recorder};
pub use refusal::{Kind, Refusal};
pub use service::{Moves, Reader};
pub use settings::Settings;
pub use shard::Shard;
pub use shared::NAME;
pub use tally::CounterSnapshot;
pub use trial::Trial;
pub use trials::Trials;
