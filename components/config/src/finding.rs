//! Wire form of findings.

use schema::config as wire;

use crate::{Finding, Findings};

/// The wire form of all findings.
#[must_use]
pub fn encode_findings(findings: &Findings) -> Vec<wire::Finding> {
    findings.as_slice().iter().map(encode).collect()
}

fn encode(finding: &Finding) -> wire::Finding {
    wire::Finding {
        place: finding.place.to_string(),
        problem: finding.problem.to_string(),
        expected: finding.expected.to_string(),
    }
}
