//! Processor time and memory of a process.

use std::fs;
use std::time;

use serde::Serialize;

/// Processor time and memory of a process, as `/proc` shows them.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Usage {
    /// Processor time of all threads, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
}

impl Usage {
    /// Ticks of processor time a second, fixed by the kernel's interface to user space.
    const TICKS: f64 = 100.0;
    /// Bytes of a page.
    const PAGE_BYTES: u64 = 4096;
    /// Fields of `/proc/PID/stat` after the name, proc(5): user time, system time, resident pages.
    const FIELDS: [usize; 3] = [11, 12, 21];

    /// Usage of the process `id`; `None` once it has ended.
    #[must_use]
    pub fn of(id: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name stands in parentheses and may hold spaces.
        let (_, rest) = stat.rsplit_once(") ")?;
        let fields: Vec<_> = rest.split(' ').collect();
        let [user, system, pages] =
            Self::FIELDS.map(|place| fields.get(place)?.parse::<u64>().ok());
        // Ticks of a run are far below 2^52.
        #[allow(clippy::cast_precision_loss)]
        let cpu_s = (user? + system?) as f64 / Self::TICKS;
        let rss_bytes = pages? * Self::PAGE_BYTES;
        Some(Self { cpu_s, rss_bytes })
    }

    /// Part of one core that was used from `earlier` to this, `elapsed` apart.
    #[must_use]
    pub fn cores_since(self, earlier: Self, elapsed: time::Duration) -> f64 {
        (self.cpu_s - earlier.cpu_s) / elapsed.as_secs_f64()
    }
}
