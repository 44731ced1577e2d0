//! Plans of calls by seed.

use radishgap_load::caller::Verb;
use radishgap_load::plan::Mix;

fn mix() -> Mix {
    Mix {
        posts: "40%".parse().expect("share"),
        keyed: "50%".parse().expect("share"),
        crashes: 2,
        ..Mix::reads("test", 100.0, units::Period::from_secs(10), "h", "/p")
    }
}

#[test]
fn plan_same_seed() {
    assert_eq!(mix().plan(7), mix().plan(7));
}

#[test]
fn plan_other_seed() {
    assert_ne!(mix().plan(7), mix().plan(8));
}

#[test]
fn plan_content() {
    let plan = mix().plan(7);
    assert_eq!(plan.len(), 1_000);
    let gap = plan[1].at - plan[0].at;
    assert!(plan.windows(2).all(|pair| pair[1].at - pair[0].at == gap));
    let posts = plan.iter().filter(|one| one.call.verb == Verb::Post);
    let keyed = posts.clone().filter(|one| one.call.key.is_some());
    assert!((300..500).contains(&posts.count()));
    assert!((120..280).contains(&keyed.count()));
    assert_eq!(plan.iter().filter(|one| one.call.crash).count(), 2);
    let mut ids: Vec<_> = plan.iter().map(|one| &one.call.id).collect();
    ids.dedup();
    assert_eq!(ids.len(), plan.len());
}
