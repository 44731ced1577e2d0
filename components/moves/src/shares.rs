//! Traffic weights of a service during a move.

use config::Weight;

/// Weights of a service after the new version has received the share `step` of the combined share
/// that both versions had before the move.
///
/// Other versions keep their shares; those with a share of zero are removed, so that they do not
/// accumulate over many moves.
#[must_use]
pub fn at_step(original: &[Weight], from: &str, to: &str, step: units::Share) -> Vec<Weight> {
    let others = original
        .iter()
        .filter(|one| one.version != from && one.version != to && one.share > units::Share::NONE);
    let total = moved(original, from, to).parts();
    let taken = (u64::from(total) * u64::from(step.parts()))
        .div_ceil(u64::from(units::Share::WHOLE.parts()));
    // At most `total`, which fits.
    let taken = u32::try_from(taken).unwrap_or(total);
    let weight = |version: &str, parts: u32| Weight {
        version: version.into(),
        share: units::Share::from_parts(parts).unwrap_or_default(),
    };
    let mut weights: Vec<_> = others.cloned().collect();
    weights.push(weight(from, total - taken));
    weights.push(weight(to, taken));
    weights
}

/// Combined share of both versions.
#[must_use]
pub fn moved(original: &[Weight], from: &str, to: &str) -> units::Share {
    let both = original
        .iter()
        .filter(|one| one.version == from || one.version == to);
    let parts = both.map(|one| one.share.parts()).sum();
    units::Share::from_parts(parts).unwrap_or(units::Share::WHOLE)
}

/// Whether two lists give every version the same share, regardless of their order.
#[must_use]
pub fn are_same(one: &[Weight], other: &[Weight]) -> bool {
    let has_weight = |list: &[Weight], weight: &Weight| {
        let share = list.iter().find(|one| one.version == weight.version);
        share.map_or(units::Share::NONE, |one| one.share) == weight.share
    };
    one.iter().all(|weight| has_weight(other, weight))
        && other.iter().all(|weight| has_weight(one, weight))
}

/// Number of backend servers on which the share `step` of the traffic is concentrated, so that each
/// of them has about the load of the full share.
#[must_use]
pub fn focus(step: units::Share, backends: usize) -> usize {
    let whole = usize::try_from(units::Share::WHOLE.parts()).unwrap_or(usize::MAX);
    let parts = usize::try_from(step.parts()).unwrap_or(usize::MAX);
    let count = backends.saturating_mul(parts).div_ceil(whole);
    count.clamp(1, backends.max(1))
}
