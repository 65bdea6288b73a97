//! The platform's store: objects with one revision counter, lists and watches.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Head, Reader};

/// A store; clones share the content.
#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

#[derive(Default)]
struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
}

#[derive(Default)]
struct Content {
    revision: u64,
    /// Objects by kind and name, as JSON.
    objects: BTreeMap<(String, String), String>,
    /// The changes that are still remembered.
    events: Vec<Event>,
    /// The revision of the latest change that is no longer remembered.
    forgotten: u64,
}

struct Event {
    revision: u64,
    at: Instant,
    kind: String,
    /// As JSON.
    text: String,
}

/// How long an answer takes.
const ANSWER: Duration = Duration::from_millis(4);
/// The store's link, in bytes a second: 1,000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 125e6;
/// How long changes are remembered (`historyS`).
const HISTORY: Duration = Duration::from_secs(20);

impl Content {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let revision = self.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"createdAt":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
        );
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.record(kind, &object, false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.record(kind, &object, true);
        }
    }

    fn record(&mut self, kind: &str, object: &str, deleted: bool) {
        let event = format!(r#"{{"object":{object},"deleted":{deleted}}}"#);
        let (revision, at) = (self.revision, Instant::now());
        self.events.push(Event { revision, at, kind: kind.to_owned(), text: event });
    }

    /// Forgets the changes that are older than the history.
    fn forget(&mut self) {
        while self.events.first().is_some_and(|event| event.at.elapsed() > HISTORY) {
            self.forgotten = self.events.remove(0).revision;
        }
    }
}

impl Store {
    /// Serves the content at a free port of `ip` as well; returns the address and a handle that
    /// ends this way to it.
    pub fn serve(&self, ip: Ipv4Addr) -> (SocketAddr, Door) {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let door = Door::default();
        let (store, open) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !open.admit(&stream) {
                    return;
                }
                let store = store.clone();
                thread::spawn(move || store.answer_all(stream));
            }
        });
        (address, door)
    }

    /// Writes an object; the response to its writer is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.0.content.lock().unwrap().write(kind, name, spec);
        self.0.changed.notify_all();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.0.content.lock().unwrap().remove(kind, name);
        self.0.changed.notify_all();
    }

    fn answer_all(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else { return };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            thread::sleep(ANSWER + Duration::from_secs_f64(text.len() as f64 / LINK_BYTES_PER_S));
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if reader.stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let mut words = head.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/v1/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        match method {
            "GET" if !name.is_empty() => self.one(kind, name),
            "GET" if query.contains_key("watch") => self.watch(kind, &query),
            "GET" => self.list(kind, query.get("after").copied().unwrap_or("")),
            "POST" => self.create(kind, body),
            "PUT" => {
                let object = self.0.content.lock().unwrap().write(kind, name, spec_of(body));
                self.0.changed.notify_all();
                ("200 OK", object)
            }
            "DELETE" => {
                self.delete(kind, name);
                ("200 OK", "null".to_owned())
            }
            _ => ("404 Not Found", "null".to_owned()),
        }
    }

    fn one(&self, kind: &str, name: &str) -> (&'static str, String) {
        let content = self.0.content.lock().unwrap();
        match content.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", object.clone()),
            None => ("404 Not Found", "null".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let content = self.0.content.lock().unwrap();
        let of_kind = content.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<&str> = of_kind.map(|(_, object)| object.as_str()).collect();
        let (items, revision) = (items.join(","), content.revision);
        ("200 OK", format!(r#"{{"items":[{items}],"hasMore":false,"asOf":{revision}}}"#))
    }

    fn create(&self, kind: &str, body: &str) -> (&'static str, String) {
        let name = body.split(r#""name":""#).nth(1).and_then(|rest| rest.split('"').next());
        let name = name.unwrap_or("").to_owned();
        let mut content = self.0.content.lock().unwrap();
        if let Some(object) = content.objects.get(&(kind.to_owned(), name.clone())) {
            return ("409 Conflict", object.clone());
        }
        let object = content.write(kind, &name, spec_of(body));
        self.0.changed.notify_all();
        ("201 Created", object)
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let (since, end) = (number("watch"), Instant::now() + Duration::from_millis(number("waitMs")));
        let mut content = self.0.content.lock().unwrap();
        loop {
            content.forget();
            if since < content.forgotten {
                return ("410 Gone", "null".to_owned());
            }
            let newer = content.events.iter().filter(|e| e.revision > since && e.kind == kind);
            let events: Vec<&str> = newer.map(|event| event.text.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"asOf":{revision}}}"#));
            }
            content = self.0.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

/// One address of a store, which can be closed.
#[derive(Clone, Default)]
pub struct Door(Arc<Mutex<DoorState>>);

#[derive(Default)]
struct DoorState {
    is_closed: bool,
    streams: Vec<TcpStream>,
}

impl Door {
    fn admit(&self, stream: &TcpStream) -> bool {
        let mut state = self.0.lock().unwrap();
        if !state.is_closed {
            state.streams.extend(stream.try_clone());
        }
        !state.is_closed
    }

    /// Closes the address and all connections to it.
    pub fn close(&self, address: SocketAddr) {
        let streams = {
            let mut state = self.0.lock().unwrap();
            state.is_closed = true;
            std::mem::take(&mut state.streams)
        };
        for stream in streams {
            // One that has ended already needs no shutdown.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(address);
    }
}

/// Returns the object behind `"spec":` in the body of a write.
fn spec_of(body: &str) -> &str {
    let Some(start) = body.find(r#""spec":"#).map(|at| at + r#""spec":"#.len()) else {
        return "null";
    };
    let mut depth = 0;
    for (at, byte) in body[start..].bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' if depth == 1 => return &body[start..=start + at],
            b'}' => depth -= 1,
            _ => {}
        }
    }
    "null"
}
