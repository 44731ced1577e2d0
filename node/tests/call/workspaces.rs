//! Keys of workspaces: who passes, and what the backend server sees.

use std::time::Duration;

use config::{Route, Snapshot, Workspace, key};

use crate::backend::Backend;
use crate::caller::{Caller, Got};
use crate::fleet::{Fleet, route, service};

type Headers<'h> = &'h [(&'h str, &'h str)];

const KEY: &str = "Bearer 7u27gxprymh2rrytapjs";
const OTHER_KEY: &str = "Bearer ujqurtyiikdrbn4ryrbb";

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let bare = |key: &&str| key::Digest::of(key.trim_start_matches("Bearer ").as_bytes());
    let mut keys: Vec<_> = keys.iter().map(bare).collect();
    keys.sort_unstable();
    Workspace {
        name: name.into(),
        keys,
        ..Workspace::default()
    }
}

/// Puts the next version in force, with `workspaces`, a route that needs a key and a public one.
fn configure(fleet: &Fleet, workspaces: Vec<Workspace>) {
    let version = fleet.holder.get().version().next();
    let public = Route {
        public: true,
        ..route("public", "/public", 2_000)
    };
    let routes = vec![route("menus", "/", 2_000), public];
    let snapshot = Snapshot::whole(version, vec![service("menus")], routes);
    let snapshot = snapshot.expect("a configuration");
    let snapshot = snapshot.with_workspaces(workspaces).expect("workspaces");
    assert!(fleet.holder.advance(snapshot));
}

fn two() -> Vec<Workspace> {
    vec![workspace("acme", &[KEY]), workspace("other", &[OTHER_KEY])]
}

async fn get(fleet: &Fleet, ingress: usize, path: &str, headers: Headers<'_>) -> Got {
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    caller.send_with("GET", path, headers, b"").await
}

fn seen(backend: &Backend, name: &str) -> Option<String> {
    let headers = backend.last_headers();
    let value = headers.get(name)?;
    Some(value.to_str().expect("text").to_owned())
}

#[compio::test]
async fn requests_by_key() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    let remote = fleet.add_ingress().await;
    configure(&fleet, two());
    let forged = ("radishgap-workspace", "other");
    let auth = "authorization";
    // Path, headers, status, the workspace that the backend server sees.
    let cases: [(&str, Headers, u16, Option<&str>); 15] = [
        ("/menu", &[(auth, KEY)], 200, Some("acme")),
        ("/menu", &[(auth, OTHER_KEY)], 200, Some("other")),
        ("/menu", &[(auth, KEY), forged], 200, Some("acme")),
        (
            "/menu",
            &[(auth, "bearer 7u27gxprymh2rrytapjs")],
            200,
            Some("acme"),
        ),
        ("/menu", &[], 401, None),
        ("/menu", &[forged], 401, None),
        ("/menu", &[(auth, "Bearer unknown")], 401, None),
        ("/menu", &[(auth, "Bearer ")], 401, None),
        ("/menu", &[(auth, "Basic 7u27gxprymh2rrytapjs")], 401, None),
        ("/menu", &[(auth, KEY), (auth, OTHER_KEY)], 401, None),
        ("/public", &[], 200, None),
        ("/public", &[forged], 200, None),
        ("/public", &[(auth, "Bearer unknown")], 200, None),
        ("/public", &[(auth, "nonsense")], 200, None),
        ("/public", &[(auth, KEY), forged], 200, Some("acme")),
    ];
    for ingress in [0, remote] {
        for (path, headers, status, workspace) in cases {
            let before = backend.total();
            let got = get(&fleet, ingress, path, headers).await;
            assert_eq!(got.status, status, "{path} {headers:?}: {got:?}");
            let ran = usize::from(status == 200);
            assert_eq!(backend.total(), before + ran, "{path} {headers:?}");
            if status == 401 {
                assert_eq!((&*got.reason, &*got.outcome), ("key-refused", "not-run"));
                continue;
            }
            assert_eq!(seen(&backend, auth), None, "{path} {headers:?}");
            let named = seen(&backend, "radishgap-workspace");
            assert_eq!(named.as_deref(), workspace, "{path} {headers:?}");
        }
        let refused = cases.iter().filter(|(_, _, status, _)| *status == 401);
        let counts = fleet.nodes[ingress].ingress.counts();
        assert_eq!(counts.keys_refused, refused.count() as u64);
    }
}

/// Guards against keys that pass once the last workspace is gone, those that were taken away among them (CONFIG).
#[compio::test]
async fn keys_of_the_last_workspace_are_refused_once_it_is_gone() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    configure(&fleet, two());
    let key: Headers = &[("authorization", KEY)];
    assert_eq!(get(&fleet, 0, "/menu", key).await.status, 200);
    configure(&fleet, Vec::new());
    let unknown: Headers = &[("authorization", "Bearer unknown")];
    for headers in [key, unknown, &[]] {
        let got = get(&fleet, 0, "/menu", headers).await;
        assert_eq!(
            (got.status, &*got.reason),
            (401, "key-refused"),
            "{headers:?}"
        );
    }
    let got = get(&fleet, 0, "/public", key).await;
    assert_eq!(got.status, 200);
    assert_eq!(seen(&backend, "authorization"), None, "a public route");
}

#[compio::test]
async fn requests_without_workspaces_stay_as_they_are() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let got = get(&fleet, 0, "/menu", &[("authorization", "Basic abc")]).await;
    assert_eq!(got.status, 200);
    assert_eq!(
        seen(&backend, "authorization").as_deref(),
        Some("Basic abc")
    );
}

#[compio::test]
async fn keys_come_and_go() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    configure(&fleet, two());
    let headers = [("authorization", KEY)];
    assert_eq!(get(&fleet, 0, "/menu", &headers).await.status, 200);
    configure(&fleet, vec![workspace("other", &[OTHER_KEY])]);
    assert_eq!(get(&fleet, 0, "/menu", &headers).await.status, 401);
    configure(&fleet, two());
    assert_eq!(get(&fleet, 0, "/menu", &headers).await.status, 200);
}

/// A node that had no proof ran requests with keys, and one with old evidence refused new keys for good.
#[compio::test]
async fn requests_at_node_that_cannot_tell() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    let limits = relay::Limits {
        current: Duration::from_secs(1),
        revocation: Duration::from_secs(5),
    };
    fleet.certainty = relay::Certainty::new(limits);
    let ingress = fleet.add_ingress().await;
    configure(&fleet, two());
    let auth = "authorization";
    let cases: [(&str, Headers, u16, &str); 7] = [
        ("/menu", &[(auth, KEY)], 503, "evidence-too-old"),
        (
            "/menu",
            &[(auth, "Bearer unknown")],
            503,
            "evidence-too-old",
        ),
        ("/menu", &[(auth, "Bearer ")], 401, "key-refused"),
        ("/menu", &[], 401, "key-refused"),
        ("/public", &[], 200, ""),
        ("/public", &[(auth, "Bearer unknown")], 200, ""),
        ("/public", &[(auth, KEY)], 503, "evidence-too-old"),
    ];
    for (path, headers, status, reason) in cases {
        let got = get(&fleet, ingress, path, headers).await;
        let is = (got.status, got.reason.as_str());
        assert_eq!(is, (status, reason), "{path} {headers:?}");
        let can_retry = got.headers.contains_key("retry-after");
        assert_eq!(can_retry, status == 503, "{path} {headers:?}");
    }
    assert_eq!(backend.total(), 2);
    let counts = fleet.nodes[ingress].ingress.counts();
    assert_eq!((counts.evidence_too_old, counts.keys_refused), (3, 2));
}

/// Without a bound for nodes out of touch, a known key needs no proof.
#[compio::test]
async fn known_key_without_strict_revocation() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    let limits = relay::Limits {
        current: Duration::from_secs(1),
        revocation: Duration::ZERO,
    };
    fleet.certainty = relay::Certainty::new(limits);
    let ingress = fleet.add_ingress().await;
    configure(&fleet, two());
    let got = get(&fleet, ingress, "/menu", &[("authorization", KEY)]).await;
    assert_eq!(got.status, 200);
    let got = get(&fleet, ingress, "/menu", &[("authorization", "Bearer x")]).await;
    assert_eq!((got.status, got.reason.as_str()), (503, "evidence-too-old"));
}
