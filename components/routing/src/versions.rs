//! Choice of a version of a service.

use config::{Service, Weight};

/// Draws a version by the shares; `point` lies from 0 up to 1.
///
/// Versions for which `open` is false get nothing, and what they would get goes to the others in
/// proportion. Where none of them has a share, the first open version that is listed without one
/// takes the traffic: at the full share of a move that is the old version, which stays ready.
/// `None` when no version is left.
#[must_use]
pub fn draw(service: &Service, point: f64, open: impl Fn(&str) -> bool) -> Option<&Weight> {
    let shared = |weight: &&Weight| weight.share.parts() > 0 && open(&weight.version);
    let weights = || service.weights.iter().filter(shared);
    let total: u32 = weights().map(|weight| weight.share.parts()).sum();
    if total == 0 {
        return service.weights.iter().find(|weight| open(&weight.version));
    }
    let mut left = point * f64::from(total);
    let mut last = None;
    for weight in weights() {
        let parts = f64::from(weight.share.parts());
        if left < parts {
            return Some(weight);
        }
        left -= parts;
        last = Some(weight);
    }
    last
}

/// The version that takes over for `drawn` when that has no backend server.
///
/// Only a version with at least the same share takes over, so that a version under trial never
/// gets the traffic of an established one.
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
