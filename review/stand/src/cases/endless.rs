//! An answer without end, and a client that reads slowly.

use std::io;

use crate::Verdict;
use crate::fleet::Record;

pub fn run(_: &Record, _: bool) -> io::Result<Verdict> {
    Ok(Verdict::NotRun)
}
