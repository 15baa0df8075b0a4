//! The platform's store: objects by kind and name, listings, watches and conditional writes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, answer, serve};
use crate::json::Value;

const PREFIX: &str = "/celerylever/objects/";

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    changes: Vec<(u64, String, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
        };
        let serving = store.clone();
        serve(listener, move |request, stream| {
            serving.handle(request, stream).map(|()| true)
        });
        store
    }

    /// Writes an object as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = self.shared.0.lock().unwrap();
        set(&mut state, kind, name, Some(spec.clone()));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        set(&mut state, kind, name, None);
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        let (status, body) = self.result(request);
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        answer(stream, status, &headers, &body)
    }

    fn result(&self, request: &Request) -> (u16, String) {
        let Some(path) = request.path().strip_prefix(PREFIX) else {
            return (404, String::new());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(decode(name))),
            None => (path.to_owned(), None),
        };
        let body = Value::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
        match (request.method.as_str(), name) {
            ("GET", None) if request.query("Watch").is_some() => self.watch(&kind, request),
            ("GET", None) => self.list(&kind, request),
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some((revision, spec)) => (200, object(&name, *revision, spec)),
                    None => (404, String::new()),
                }
            }
            ("POST", None) => self.write(&kind, None, &body),
            ("PUT", Some(name)) => self.write(&kind, Some(name), &body),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                (200, "{}".to_owned())
            }
            _ => (404, String::new()),
        }
    }

    fn list(&self, kind: &str, request: &Request) -> (u16, String) {
        let after = request.query("after").map(decode).unwrap_or_default();
        let state = self.shared.0.lock().unwrap();
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && *name > after)
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"StoreRevision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("Watch").unwrap_or(0);
        let wait_ms: u64 = number("WaitMs").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, String::new());
            }
            let events: Vec<&str> = state
                .changes
                .iter()
                .filter(|(revision, of, _)| *revision > after && of == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"Events\":[{events}],\"StoreRevision\":{revision}}}"),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, body: &Value) -> (u16, String) {
        let metadata = body.get("Metadata");
        let is_new = name.is_none();
        let name = name.unwrap_or_else(|| metadata.get("Name").text().unwrap_or_default().into());
        let expected = metadata.get("Revision").number();
        let mut state = self.shared.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.clone())) {
            Some((revision, spec)) if is_new || expected.is_some_and(|seen| seen != *revision) => {
                return (409, object(&name, *revision, spec));
            }
            None if !is_new => return (404, String::new()),
            _ => {}
        }
        let spec = body.get("Spec").clone();
        let revision = set(&mut state, kind, &name, Some(spec.clone()));
        self.shared.1.notify_all();
        (200, object(&name, revision, &spec))
    }
}

fn set(state: &mut State, kind: &str, name: &str, spec: Option<Value>) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    let known = state.objects.get(&key).cloned();
    let (is_deleted, shown) = match (&spec, known) {
        // A write that changes nothing does not raise the revision.
        (Some(spec), Some((revision, known))) if *spec == known => return revision,
        (Some(spec), _) => (false, spec.clone()),
        (None, Some((_, known))) => (true, known),
        (None, None) => return state.revision,
    };
    state.revision += 1;
    let revision = state.revision;
    match spec {
        Some(spec) => state.objects.insert(key, (revision, spec)),
        None => state.objects.remove(&key),
    };
    let object = object(name, revision, &shown);
    let event = format!("{{\"Object\":{object},\"Deleted\":{is_deleted}}}");
    state.changes.push((revision, kind.to_owned(), event));
    revision
}

fn object(name: &str, revision: u64, spec: &Value) -> String {
    let name = Value::Text(name.to_owned());
    format!(
        "{{\"Metadata\":{{\"Name\":{name},\"Revision\":{revision},\"Created\":1,\"Finalizers\":[],\
         \"Deleting\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
