//! The platform's store: objects by kind and name, with revisions and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::Json;

/// The platform's store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<(u64, String, bool, String)>,
}

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: String,
    status: String,
}

impl State {
    fn show(&self, key: &(String, String)) -> Option<String> {
        let object = self.objects.get(key)?;
        Some(object.show(&key.1))
    }

    /// Puts an object; the revision moves only where something changes.
    fn put(&mut self, key: &(String, String), spec: Option<String>, status: Option<String>) {
        let held = self.objects.get(key).cloned();
        let mut next = held.clone().unwrap_or(Object {
            rev: 0,
            created: self.revision + 1,
            spec: "null".into(),
            status: "null".into(),
        });
        next.spec = spec.unwrap_or(next.spec);
        next.status = status.unwrap_or(next.status);
        if held.is_some_and(|held| held.spec == next.spec && held.status == next.status) {
            return;
        }
        self.revision += 1;
        next.rev = self.revision;
        self.objects.insert(key.clone(), next.clone());
        self.history
            .push((self.revision, key.0.clone(), false, next.show(&key.1)));
    }
}

impl Object {
    fn show(&self, name: &str) -> String {
        format!(
            r#"{{"metadata":{{"name":"{name}","rev":{},"createRevision":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
            self.rev, self.created, self.spec, self.status
        )
    }
}

impl Store {
    /// Serves the store at a free port of `ip`.
    pub fn serve(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.talk(stream));
            }
        });
        address
    }

    /// Writes an object as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        let key = (kind.to_owned(), name.to_owned());
        state
            .lock()
            .expect("no panic")
            .put(&key, Some(spec.to_owned()), None);
        changed.notify_all();
    }

    fn talk(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let json = [("Content-Type", "application/json")];
            if http::write_answer(&mut writer, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let query: Vec<_> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let asked = |name: &str| query.iter().find(|pair| pair.0 == name).map(|pair| pair.1);
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, "{}".into());
        };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().unwrap_or_default().to_owned();
        let is_status = parts.next() == Some("status");
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let condition = body
            .get("metadata")
            .and_then(|metadata| metadata.get("rev")?.number());
        let condition = condition.or(asked("rev").and_then(|rev| rev.parse().ok()));
        let (state, changed) = &*self.shared;
        if request.method == "GET" && name.is_empty() {
            if let Some(from) = asked("watch").and_then(|from| from.parse().ok()) {
                let wait = asked("waitMs")
                    .and_then(|wait| wait.parse().ok())
                    .unwrap_or(0);
                return (200, self.watch(&kind, from, Duration::from_millis(wait)));
            }
            return (200, self.list(&kind, asked("after").unwrap_or_default()));
        }
        let mut state = state.lock().expect("no panic");
        let name = match request.method.as_str() {
            "POST" => {
                let named = body
                    .get("metadata")
                    .and_then(|metadata| metadata.get("name")?.text());
                named.unwrap_or_default().to_owned()
            }
            _ => name,
        };
        let key = (kind, name);
        let held = state.objects.get(&key).map(|object| object.rev);
        let field = |name: &str| body.get(name).map(Json::to_string);
        match (request.method.as_str(), held) {
            ("GET", Some(_)) => (200, state.show(&key).unwrap_or_default()),
            ("POST", Some(_)) => (409, state.show(&key).unwrap_or_default()),
            ("POST", None) => {
                state.put(&key, field("spec"), field("status"));
                changed.notify_all();
                (200, state.show(&key).unwrap_or_default())
            }
            ("PUT" | "DELETE", Some(rev)) if condition.is_some_and(|one| one != rev) => {
                (409, state.show(&key).unwrap_or_default())
            }
            ("PUT", Some(_)) => {
                match is_status {
                    true => state.put(&key, None, field("status")),
                    false => state.put(&key, field("spec"), None),
                }
                changed.notify_all();
                (200, state.show(&key).unwrap_or_default())
            }
            ("DELETE", Some(_)) => {
                let shown = state.show(&key).unwrap_or_default();
                state.objects.remove(&key);
                state.revision += 1;
                let revision = state.revision;
                state.history.push((revision, key.0, true, shown.clone()));
                changed.notify_all();
                (200, shown)
            }
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.shared.0.lock().expect("no panic");
        let found = state
            .objects
            .iter()
            .filter(|(key, _)| key.0 == kind && key.1.as_str() > after);
        let items: Vec<_> = found.map(|(key, object)| object.show(&key.1)).collect();
        let revision = state.revision;
        format!(
            r#"{{"items":[{}],"hasMore":false,"currentRev":{revision}}}"#,
            items.join(",")
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().expect("no panic");
        loop {
            let newer = state
                .history
                .iter()
                .filter(|event| event.0 > from && event.1 == kind);
            let events: Vec<_> = newer
                .map(|event| format!(r#"{{"deleted":{},"object":{}}}"#, event.2, event.3))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return format!(
                    r#"{{"events":[{}],"currentRev":{revision}}}"#,
                    events.join(",")
                );
            }
            state = changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}
