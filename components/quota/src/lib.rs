//! Enforces the request quota of each workspace over all nodes.
//!
//! One node at a time, the granter, holds a token bucket for each workspace and leases tokens to the
//! wallets of the ingresses. It grants while it has votes of more than half of the members; the design
//! note has the arithmetic of the bound.

mod account;
mod bucket;
mod candidates;
mod counts;
mod dump;
mod electorate;
mod granter;
mod handle;
mod holder;
mod holders;
mod limit;
mod quotas;
mod search;
mod settings;
mod shared;
mod term;
mod terms;
mod wallet;

pub use bucket::Bucket;
pub use candidates::{Candidates, rank};
pub use counts::Counts;
pub use dump::{Dump, Entry};
pub use electorate::Electorate;
pub use granter::Granter;
pub use handle::{Handle, Refusal, Token};
pub use limit::{Limit, hash};
pub use quotas::{Parts, Quotas};
pub use settings::{Intervals, Settings};
pub use terms::Terms;
pub use wallet::{Sent, Take, Wallet};
