//! Load and experiment tool: real processes on loopback, open-loop callers, faults by seed, and a
//! judge that compares what callers were told with what backend servers ran.

pub mod caller;
pub mod cli;
pub mod demo;
pub mod driver;
pub mod fleet;
pub mod judge;
pub mod plain;
pub mod plan;
pub mod relay;
pub mod report;
