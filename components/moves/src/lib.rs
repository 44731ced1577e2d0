//! Moves: the traffic of a service goes over from one version to another by a deadline, and each
//! move ends either done or taken back.
//!
//! The object `move/<id>` of the platform says how a move stands; its end is written once. A node
//! runs the moves of a shard while it holds the shard's lease. It takes steps planned back from the
//! deadline ([`Plan`]), each after evidence by sequential tests ([`Judge`]) on what nodes saw of
//! both versions over the same time. A version that shows badness is withheld on all nodes at once
//! by gossip, with the platform down too.

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
mod evidence;
mod fleets;
mod gather;
mod gossip;
mod health;
mod histogram;
mod id;
mod index;
mod judge;
mod keeper;
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
pub use recorder::{Recorded, Recorder};
pub use refusal::{Kind, Refusal};
pub use service::{Moves, Reader};
pub use settings::Settings;
pub use shard::Shard;
pub use shared::NAME;
pub use tally::Snapshot;
pub use trial::Trial;
pub use trials::Trials;
