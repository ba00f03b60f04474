//! The platform's store: objects by kind and name, lists and watches.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    spec: String,
    revision: u64,
    deleted: bool,
}

impl Object {
    fn json(&self) -> String {
        format!(
            r#"{{"metadata":{{"name":"{}","revision":{},"created":1,"finalizers":[],"deleting":false}},"spec":{},"status":{{}}}}"#,
            self.name, self.revision, self.spec
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    // All changes, oldest first.
    history: Vec<Object>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Store::default());
        let served = store.clone();
        http::serve(address, move |request, stream| served.handle(request, stream))?;
        Ok(store)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, spec, false);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, "null", true);
    }

    fn change(&self, kind: &str, name: &str, spec: &str, deleted: bool) {
        let mut state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        state.revision += 1;
        let object = Object {
            kind: kind.into(),
            name: name.into(),
            spec: spec.into(),
            revision: state.revision,
            deleted,
        };
        state.objects.retain(|old| old.kind != kind || old.name != name);
        if !deleted {
            state.objects.push(object.clone());
        }
        state.history.push(object);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let text = self.answer(request);
        stream.write_all(text.as_bytes())?;
        Ok(true)
    }

    fn answer(&self, request: &Message) -> String {
        let json = [("Content-Type", "application/json")];
        let path = request.path().trim_start_matches("/api/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match request.first[0].as_str() {
            "GET" if request.query("watch").is_some() => {
                http::answer("200 OK", &json, &self.watch(kind, request))
            }
            "GET" => http::answer("200 OK", &json, &self.list(kind)),
            "POST" => {
                let name = field(&body, "metadata").and_then(|meta| field(meta, "name"));
                let name = name.unwrap_or_default().trim_matches('"').to_string();
                if self.has(kind, &name) {
                    return http::answer("409 Conflict", &json, "{}");
                }
                self.put(kind, &name, field(&body, "spec").unwrap_or("null"));
                http::answer("201 Created", &json, "{}")
            }
            "PUT" if !self.has(kind, name) => http::answer("404 Not Found", &json, "{}"),
            "PUT" => {
                self.put(kind, name, field(&body, "spec").unwrap_or("null"));
                http::answer("200 OK", &json, "{}")
            }
            _ => http::answer("404 Not Found", &json, "{}"),
        }
    }

    fn has(&self, kind: &str, name: &str) -> bool {
        let state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        state.objects.iter().any(|o| o.kind == kind && o.name == name)
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        let items = state.objects.iter().filter(|object| object.kind == kind);
        let items: Vec<String> = items.map(Object::json).collect();
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"hasMore":false,"storeRevision":{revision}}}"#)
    }

    fn watch(&self, kind: &str, request: &Message) -> String {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("watch").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        loop {
            let events = state.history.iter();
            let events = events.filter(|object| object.kind == kind && object.revision > after);
            let events: Vec<String> = events
                .map(|o| format!(r#"{{"object":{},"deleted":{}}}"#, o.json(), o.deleted))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }
}

/// The value of a field of an object in JSON, as it stands there.
fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let key = format!("\"{name}\"");
    let (mut depth, mut quoted, mut at) = (0, false, 0);
    let mut start = None;
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if quoted => at += 1,
            b'"' => {
                if !quoted && depth == 1 && start.is_none() && object[at..].starts_with(&key) {
                    let rest = object[at + key.len()..].trim_start();
                    if rest.starts_with(':') {
                        at = object.len() - rest.len() + 1;
                        start = Some(at);
                        continue;
                    }
                }
                quoted = !quoted;
            }
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => depth -= 1,
            _ => {}
        }
        let ends = !quoted && (depth == 0 || (depth == 1 && bytes[at] == b','));
        if let Some(start) = start.filter(|_| ends) {
            return Some(object[start..at].trim());
        }
        at += 1;
    }
    None
}
