//! Load and experiment tool: real processes on loopback, open-loop callers, faults by seed, and a
//! judge that compares what callers were told with what backend servers ran.

pub mod caller;
pub mod cli;
pub mod convergence;
pub mod demo;
pub mod driver;
pub mod failure;
pub mod faults;
pub mod fleet;
pub mod judge;
pub mod moves;
pub mod operator;
pub mod options;
pub mod plain;
pub mod plan;
pub mod relay;
pub mod report;
pub mod requests;
pub mod soak;
pub mod variant;
