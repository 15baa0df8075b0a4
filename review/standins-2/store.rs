//! Store of the platform: objects by kind and name, with revisions, watches and an era.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server, respond};
use crate::json::Json;

const PREFIX: &str = "/celerylever/objects/";

type Key = (String, String);

/// Objects at one time.
#[derive(Debug, Clone, Default)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<Key, Stored>,
}

#[derive(Debug, Clone)]
struct Stored {
    revision: u64,
    spec: Json,
    status: Json,
}

#[derive(Debug, Default)]
struct State {
    now: Copy,
    changes: VecDeque<(u64, String, Json)>,
    /// Revision before which the history is gone.
    history_from: u64,
    era: u64,
    is_down: bool,
}

/// Stand-in of the store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    _server: Arc<Server>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        {
            let mut state = shared.0.lock().unwrap();
            state.now.revision = 1;
            state.era = 1;
        }
        let handled = shared.clone();
        let handler =
            move |request: &Request, stream: &mut TcpStream| handle(&handled, request, stream);
        let server = Server::start(([127, 0, 0, 1], 0).into(), Arc::new(handler))?;
        Ok(Self {
            address: server.address,
            shared,
            _server: Arc::new(server),
        })
    }

    /// Writes an object as the operator or an engine does, unless the store is down.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_down {
            return false;
        }
        write(&mut state, kind, name, Some(spec));
        self.shared.1.notify_all();
        true
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        write(&mut state, kind, name, None);
        self.shared.1.notify_all();
    }

    /// Makes the store answer no call, or all again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.0.lock().unwrap().is_down = is_down;
        self.shared.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        self.shared.0.lock().unwrap().now.clone()
    }

    /// Returns from a copy: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.shared.0.lock().unwrap();
        state.now = copy.clone();
        state.changes.clear();
        state.history_from = copy.revision;
        state.era += 1;
        self.shared.1.notify_all();
    }
}

fn write(state: &mut State, kind: &str, name: &str, spec: Option<Json>) -> Json {
    let key = (kind.to_owned(), name.to_owned());
    let known = state.now.objects.get(&key).cloned();
    if let (Some(known), Some(spec)) = (&known, &spec)
        && known.spec == *spec
    {
        return object(name, known);
    }
    state.now.revision += 1;
    let revision = state.now.revision;
    let stored = Stored {
        revision,
        spec: spec
            .clone()
            .or(known.map(|known| known.spec))
            .unwrap_or(Json::Null),
        status: Json::Null,
    };
    match spec {
        Some(_) => drop(state.now.objects.insert(key, stored.clone())),
        None => drop(state.now.objects.remove(&key)),
    }
    let shown = object(name, &stored);
    let event = Json::Object(vec![
        ("Object".into(), shown.clone()),
        ("Deleted".into(), Json::Bool(spec.is_none())),
    ]);
    state.changes.push_back((revision, kind.to_owned(), event));
    shown
}

fn object(name: &str, stored: &Stored) -> Json {
    let metadata = format!(
        r#"{{"Name":{},"Revision":{},"Created":1,"Finalizers":[],"Deleting":false}}"#,
        Json::Text(name.to_owned()),
        stored.revision,
    );
    Json::Object(vec![
        ("Metadata".into(), Json::parse(&metadata)),
        ("Spec".into(), stored.spec.clone()),
        ("Status".into(), stored.status.clone()),
    ])
}

fn handle(
    shared: &(Mutex<State>, Condvar),
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let Some(path) = request.path().strip_prefix(PREFIX) else {
        return respond(stream, 404, &[], "");
    };
    let path = decode(path);
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (path.as_str(), None),
    };
    let (status, body) = match (request.method.as_str(), name, request.query("Watch")) {
        ("GET", None, Some(after)) => watch(shared, kind, after.parse().unwrap_or(0), request),
        _ => call(&mut shared.0.lock().unwrap(), kind, name, request),
    };
    let era = {
        let state = shared.0.lock().unwrap();
        // A store that is down answers nothing and closes the connection.
        if state.is_down {
            return Ok(false);
        }
        state.era
    };
    shared.1.notify_all();
    respond(stream, status, &[("Store-Era", era.to_string())], &body)
}

fn call(state: &mut State, kind: &str, name: Option<&str>, request: &Request) -> (u16, String) {
    if state.is_down {
        return (503, String::new());
    }
    let body = Json::parse(&String::from_utf8_lossy(&request.body));
    let metadata = body.get("Metadata");
    let expected = metadata.get("Revision").number();
    let name_of = |name: Option<&str>| name.unwrap_or(metadata.get("Name").text()).to_owned();
    match (request.method.as_str(), name) {
        ("GET", None) => list(state, kind, request.query("after").unwrap_or_default()),
        ("GET", Some(name)) => match state.now.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(stored) => (200, object(name, stored).to_string()),
            None => (404, String::new()),
        },
        ("POST", None) | ("PUT", Some(_)) => {
            let name = name_of(name);
            let known = state.now.objects.get(&(kind.to_owned(), name.clone()));
            let is_post = request.method == "POST";
            match known {
                Some(stored) if is_post || expected.is_some_and(|it| it != stored.revision) => {
                    (409, object(&name, stored).to_string())
                }
                None if !is_post => (404, String::new()),
                _ => {
                    let shown = write(state, kind, &name, Some(body.get("Spec").clone()));
                    (200, shown.to_string())
                }
            }
        }
        ("DELETE", Some(name)) => {
            let is_known = state
                .now
                .objects
                .contains_key(&(kind.to_owned(), name.to_owned()));
            if is_known {
                write(state, kind, name, None);
            }
            (if is_known { 200 } else { 404 }, "{}".to_owned())
        }
        _ => (404, String::new()),
    }
}

fn list(state: &State, kind: &str, after: &str) -> (u16, String) {
    let of_kind = state
        .now
        .objects
        .iter()
        .filter(|((of, name), _)| of == kind && **name > *after);
    let items = of_kind
        .map(|((_, name), stored)| object(name, stored))
        .collect();
    let body = Json::Object(vec![
        ("items".into(), Json::List(items)),
        ("HasMore".into(), Json::Bool(false)),
        (
            "StoreRevision".into(),
            Json::Number(state.now.revision.to_string()),
        ),
    ]);
    (200, body.to_string())
}

fn watch(
    shared: &(Mutex<State>, Condvar),
    kind: &str,
    after: u64,
    request: &Request,
) -> (u16, String) {
    let wait_ms = request
        .query("WaitMs")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut state = shared.0.lock().unwrap();
    let era = state.era;
    loop {
        if state.is_down
            || state.era != era
            || after < state.history_from
            || after > state.now.revision
        {
            return (410, String::new());
        }
        let events: Vec<Json> = state
            .changes
            .iter()
            .filter(|(revision, of, _)| *revision > after && of == kind)
            .map(|(_, _, event)| event.clone())
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let body = Json::Object(vec![
                ("Events".into(), Json::List(events)),
                (
                    "StoreRevision".into(),
                    Json::Number(state.now.revision.to_string()),
                ),
            ]);
            return (200, body.to_string());
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}

fn decode(path: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = path.bytes();
    while let Some(byte) = rest.next() {
        let digits = match byte {
            b'%' => rest.next().zip(rest.next()),
            _ => None,
        };
        let value = digits.and_then(|(high, low)| {
            let text = [high, low];
            u8::from_str_radix(std::str::from_utf8(&text).ok()?, 16).ok()
        });
        bytes.push(value.unwrap_or(byte));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
