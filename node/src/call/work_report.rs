//! Report of the work left at a backend server.

use crate::call::Headers;

/// Report of an owner about the work left at its backend server, sent with an answer as
/// `START TYPICAL RUNS`: milliseconds until a new request would start, typical runtime of the route in
/// milliseconds, and number of runs behind it.
pub(crate) struct WorkReport;

impl WorkReport {
    /// Longest time in a report, in milliseconds.
    const MAX_MS: f64 = 60_000.0;

    /// Converts a report of the gate to one for the choice of a backend server.
    pub(crate) fn convert(report: &admission::Report) -> routing::Report {
        routing::Report {
            start_ms: report.start.as_secs_f64() * 1_000.0,
            typical_ms: report.typical.as_secs_f64() * 1_000.0,
            runs: report.runs,
        }
    }

    pub(crate) fn write(report: &admission::Report, headers: &mut http::HeaderMap) {
        let one = Self::convert(report);
        let text = compact_str::format_compact!(
            "{:.0} {:.1} {}",
            one.start_ms.min(Self::MAX_MS),
            one.typical_ms.min(Self::MAX_MS),
            one.runs
        );
        Headers::set(headers, Headers::WORK, &text);
    }

    /// Reads a report; `None` if it is missing or not valid.
    pub(crate) fn read(headers: &http::HeaderMap) -> Option<routing::Report> {
        let text = Headers::text(headers, &Headers::WORK)?;
        let mut parts = text.split(' ');
        let mut time = || {
            let millis: f64 = parts.next()?.parse().ok()?;
            (0.0..=Self::MAX_MS).contains(&millis).then_some(millis)
        };
        let (start_ms, typical_ms) = (time()?, time()?);
        let runs = parts.next()?.parse().ok()?;
        Some(routing::Report {
            start_ms,
            typical_ms,
            runs,
        })
    }
}
