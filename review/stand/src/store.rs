//! The platform's store, as PROTOCOL.md tells it: objects by kind and name, revisions, watches.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, Wire, answer, listen};
use crate::json::{Json, table};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    rev: u64,
    made: u64,
    spec: Json,
    status: Json,
}

impl Object {
    fn json(&self) -> Json {
        let metadata = table(&[
            ("name", self.name.as_str().into()),
            ("rev", self.rev.into()),
            ("createRevision", self.made.into()),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        table(&[("metadata", metadata), ("spec", self.spec.clone()), ("status", self.status.clone())])
    }
}

struct State {
    revision: u64,
    objects: Vec<Object>,
    history: Vec<(u64, Object, bool)>,
    /// Value of the header `Store-Era`; none is sent at zero.
    era: u64,
    /// Whether the store answers 503 to all calls.
    is_away: bool,
}

/// The objects of a moment, from which the store can come back.
pub struct Copy {
    revision: u64,
    objects: Vec<Object>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<(Store, SocketAddr)> {
        let state = State { revision: 100, objects: Vec::new(), history: Vec::new(), era: 0, is_away: false };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        let bound = listen(address, move |wire, head, body| served.serve(wire, &head, &body))?;
        Ok((store, bound))
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let status = state.find(kind, name).map_or(Json::Null, |held| held.status.clone());
        state.write(kind, name, spec, status);
        self.state.1.notify_all();
        state.revision
    }

    /// Names an era in all answers from now on.
    pub fn begin_era(&self) {
        self.state.0.lock().unwrap().era = 1;
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// The store is away: it answers 503, and cuts the watches that wait.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// The store is back, from `copy`, in a new era.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.is_away = false;
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects.clone();
        state.history.clear();
        self.state.1.notify_all();
    }


    fn serve(&self, wire: &mut Wire, head: &Head, body: &[u8]) -> io::Result<bool> {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|pair| pair.0 == name).map(|pair| pair.1.to_owned())
        };
        let parts: Vec<_> = path.trim_start_matches("/v1/objects/").split('/').map(str::to_owned).collect();
        if self.state.0.lock().unwrap().is_away {
            wire.send(&answer("503 Service Unavailable", "", b""))?;
            return Ok(true);
        }
        let (status, value) = match parameter("watch").and_then(|from| from.parse().ok()) {
            Some(from) => {
                let wait = parameter("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                self.watch(&parts[0], from, Duration::from_millis(wait))
            }
            None => self.call(head.method(), &parts, parameter("rev"), parameter("after"), body),
        };
        let era = match self.state.0.lock().unwrap().era {
            0 => String::new(),
            era => format!("Store-Era: {era}\r\n"),
        };
        let headers = format!("Content-Type: application/json\r\n{era}");
        wire.send(&answer(status, &headers, value.to_string().as_bytes()))?;
        Ok(true)
    }

    fn call(&self, method: &str, parts: &[String], rev: Option<String>, after: Option<String>, body: &[u8]) -> (&'static str, Json) {
        const OK: &str = "200 OK";
        const CONFLICT: &str = "409 Conflict";
        const MISSING: &str = "404 Not Found";
        let sent = std::str::from_utf8(body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        let expected = sent.get("metadata").get("rev").number().or(rev.and_then(|rev| rev.parse().ok()));
        let kind = parts[0].as_str();
        let mut state = self.state.0.lock().unwrap();
        let result = match (method, parts.get(1), parts.get(2)) {
            ("GET", None, _) => {
                let mut items: Vec<_> = state.objects.iter().filter(|one| one.kind == kind).cloned().collect();
                items.sort_by(|a, b| a.name.cmp(&b.name));
                items.retain(|one| after.as_ref().is_none_or(|after| one.name > *after));
                let items = items.iter().map(Object::json).collect();
                (OK, table(&[("items", Json::List(items)), ("hasMore", Json::Bool(false)), ("currentRev", state.revision.into())]))
            }
            ("GET", Some(name), _) => match state.find(kind, name) {
                Some(held) => (OK, held.json()),
                None => (MISSING, Json::Null),
            },
            ("POST", None, _) => {
                let name = sent.get("metadata").get("name").text().unwrap_or_default().to_owned();
                match state.find(kind, &name) {
                    Some(held) => (CONFLICT, held.json()),
                    None => (OK, state.write(kind, &name, sent.get("spec").clone(), Json::Null)),
                }
            }
            ("PUT", Some(name), part) => match state.find(kind, name).cloned() {
                None => (MISSING, Json::Null),
                Some(held) if expected.is_some_and(|expected| expected != held.rev) => (CONFLICT, held.json()),
                Some(held) => {
                    let (spec, status) = match part {
                        Some(_) => (held.spec.clone(), sent.get("status").clone()),
                        None => (sent.get("spec").clone(), held.status.clone()),
                    };
                    match spec == held.spec && status == held.status {
                        true => (OK, held.json()),
                        false => (OK, state.write(kind, name, spec, status)),
                    }
                }
            },
            ("DELETE", Some(name), _) => match state.find(kind, name).cloned() {
                None => (MISSING, Json::Null),
                Some(held) if expected.is_some_and(|expected| expected != held.rev) => (CONFLICT, held.json()),
                Some(held) => {
                    state.revision += 1;
                    let revision = state.revision;
                    state.objects.retain(|one| one.kind != kind || one.name != *name);
                    state.history.push((revision, held.clone(), true));
                    (OK, held.json())
                }
            },
            _ => (MISSING, Json::Null),
        };
        self.state.1.notify_all();
        result
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, Json) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return ("503 Service Unavailable", Json::Null);
            }
            let oldest = state.history.first().map_or(state.revision + 1, |one| one.0);
            if from > state.revision || from + 1 < oldest {
                return ("410 Gone", Json::Null);
            }
            let news = state.history.iter().filter(|one| one.0 > from && one.1.kind == kind);
            let events: Vec<_> = news.map(|one| table(&[("object", one.1.json()), ("deleted", Json::Bool(one.2))])).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return ("200 OK", table(&[("events", Json::List(events)), ("currentRev", state.revision.into())]));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn find(&mut self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.iter().find(|one| one.kind == kind && one.name == name)
    }

    fn write(&mut self, kind: &str, name: &str, spec: Json, status: Json) -> Json {
        self.revision += 1;
        let rev = self.revision;
        let made = self.find(kind, name).map_or(rev, |held| held.made);
        let object = Object { kind: kind.into(), name: name.into(), rev, made, spec, status };
        self.objects.retain(|one| one.kind != kind || one.name != name);
        self.objects.push(object.clone());
        let json = object.json();
        self.history.push((rev, object, false));
        json
    }
}
