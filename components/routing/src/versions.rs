//! Choice of a version of a service for a request.

use config::{Service, Weight};

/// Draws a version by the shares; `point` is in [0, 1).
///
/// Versions that are not `allowed` get no traffic, and their shares go to the others in proportion. If
/// no allowed version has a share, the first allowed version that is listed without one takes the
/// traffic; at the full share of a move, that is the old version, which stays ready. Returns `None` if
/// no version is left.
#[must_use]
pub fn draw(service: &Service, point: f64, allowed: impl Fn(&str) -> bool) -> Option<&Weight> {
    let has_share = |weight: &&Weight| weight.share.parts() > 0 && allowed(&weight.version);
    let weights = || service.weights.iter().filter(has_share);
    let total: u32 = weights().map(|weight| weight.share.parts()).sum();
    if total == 0 {
        return service
            .weights
            .iter()
            .find(|weight| allowed(&weight.version));
    }
    let mut remaining = point * f64::from(total);
    let mut last = None;
    for weight in weights() {
        let parts = f64::from(weight.share.parts());
        if remaining < parts {
            return Some(weight);
        }
        remaining -= parts;
        last = Some(weight);
    }
    last
}

/// Returns the version that takes over from `drawn` if that has no backend server.
///
/// Only a version with at least the same share takes over, so that a version on trial never gets the
/// traffic of an established one.
#[must_use]
pub fn fall_back<'s>(
    service: &'s Service,
    drawn: &Weight,
    usable: impl Fn(&str) -> bool,
) -> Option<&'s Weight> {
    let others = service.weights.iter().filter(|weight| {
        weight.version != drawn.version && weight.share >= drawn.share && usable(&weight.version)
    });
    others.max_by_key(|weight| weight.share)
}
