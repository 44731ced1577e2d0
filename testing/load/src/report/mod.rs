//! Reports: JSON, a table for people, and plots.

mod histogram;
mod plot;
mod save;

pub use histogram::{Histogram, Quantiles};
pub use plot::{Line, Plot};
pub use save::{Error, Origin, Report};
