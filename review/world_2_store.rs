//! A stand-in of the platform's store, as PROTOCOL describes it. It listens once for each machine, so
//! that it can turn some machines away and serve the others.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// How the store treats the calls of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// Answers.
    Well,
    /// Never answers a call that comes meanwhile.
    Silent,
}

type Key = (String, String);

/// One change of an object.
struct Change {
    at: Instant,
    revision: u64,
    key: Key,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Key, String>,
    changes: Vec<Change>,
    moods: HashMap<u16, Mood>,
    /// How far reads with `allowStale` are behind.
    stale_by: Duration,
}

/// A running store.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 3, ..State::default() };
        Self(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Listens for one more machine.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for the store");
        let addr = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, addr.port()));
            }
        });
        addr
    }

    pub fn set_mood(&self, addr: SocketAddr, mood: Mood) {
        self.0.0.lock().unwrap().moods.insert(addr.port(), mood);
        self.0.1.notify_all();
    }

    pub fn set_stale_by(&self, stale_by: Duration) {
        self.0.0.lock().unwrap().stale_by = stale_by;
    }

    /// Writes an object; returns the revision of the change.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        state.write((kind.to_owned(), name.to_owned()), spec);
        let revision = state.revision;
        drop(state);
        self.0.1.notify_all();
        revision
    }

    fn mood(&self, port: u16) -> Mood {
        self.0.0.lock().unwrap().moods.get(&port).copied().unwrap_or(Mood::Well)
    }

    fn serve(&self, mut stream: TcpStream, port: u16) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(call)) = http::read(&mut reader) {
            if self.mood(port) == Mood::Silent {
                // "A channel on which a response is lost returns nothing further."
                thread::sleep(Duration::from_secs(200));
                return;
            }
            let Some((status, body)) = self.answer(&call, port) else {
                thread::sleep(Duration::from_secs(200));
                return;
            };
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, `None` if there is never one.
    fn answer(&self, call: &Message, port: u16) -> Option<(u16, String)> {
        let target = call.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_start_matches("/v1/objects/").split('/').collect();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let key = |name: &str| (parts[0].to_owned(), name.to_owned());
        match (call.word(0), parts.as_slice()) {
            ("GET", [kind]) => match query.get("watch") {
                Some(since) => self.watch(kind, since.parse().ok()?, query.get("waitMs"), port),
                None => Some(self.list(kind, query.get("after"), query.contains_key("allowStale"))),
            },
            ("GET", [_, name]) => match self.0.0.lock().unwrap().objects.get(&key(name)) {
                Some(object) => Some((200, object.clone())),
                None => Some((404, "null".to_owned())),
            },
            ("POST", [_]) => {
                let metadata = field(&body, "metadata")?;
                let key = key(field(metadata, "name")?.trim_matches('"'));
                let mut state = self.0.0.lock().unwrap();
                if let Some(object) = state.objects.get(&key) {
                    return Some((409, object.clone()));
                }
                let object = state.write(key, field(&body, "spec")?);
                drop(state);
                self.0.1.notify_all();
                Some((200, object))
            }
            ("PUT", [_, name]) => {
                let mut state = self.0.0.lock().unwrap();
                let key = key(name);
                let Some(object) = state.objects.get(&key).cloned() else {
                    return Some((404, "null".to_owned()));
                };
                let spec = field(&body, "spec")?;
                // "A PUT that changes nothing does not increase the revision and produces no event."
                if field(&object, "spec") == Some(spec) {
                    return Some((200, object));
                }
                let object = state.write(key, spec);
                drop(state);
                self.0.1.notify_all();
                Some((200, object))
            }
            _ => Some((404, "null".to_owned())),
        }
    }

    fn list(&self, kind: &str, after: Option<&&str>, stale: bool) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let (revision, objects) = match stale {
            true => state.as_of(Instant::now() - state.stale_by),
            false => (state.revision, state.objects.clone()),
        };
        let of_kind = objects
            .iter()
            .filter(|((k, name), _)| k == kind && after.is_none_or(|after| name.as_str() > *after));
        let items: Vec<&str> = of_kind.map(|(_, object)| object.as_str()).collect();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{revision}}}"))
    }

    fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Option<&&str>,
        port: u16,
    ) -> Option<(u16, String)> {
        let wait = wait.and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.0.0.lock().unwrap();
        loop {
            if state.moods.get(&port) == Some(&Mood::Silent) {
                return None;
            }
            let newer = state.changes.iter().filter(|c| c.revision > since && c.key.0 == kind);
            let events: Vec<String> = newer
                .map(|c| format!("{{\"object\":{},\"deleted\":{}}}", c.object, c.deleted))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, as_of) = (events.join(","), state.revision);
                return Some((200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}")));
            }
            state = self.0.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, key: Key, spec: &str) -> String {
        self.revision += 1;
        let (name, revision) = (&key.1, self.revision);
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createdAt\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let at = Instant::now();
        self.objects.insert(key.clone(), object.clone());
        self.changes.push(Change { at, revision, key, object: object.clone(), deleted: false });
        object
    }

    /// Returns what the store held at a moment.
    fn as_of(&self, at: Instant) -> (u64, BTreeMap<Key, String>) {
        let (mut revision, mut objects) = (3, BTreeMap::new());
        for change in self.changes.iter().filter(|change| change.at <= at) {
            revision = change.revision;
            match change.deleted {
                true => objects.remove(&change.key),
                false => objects.insert(change.key.clone(), change.object.clone()),
            };
        }
        (revision, objects)
    }
}

/// Returns the text of a member of a JSON object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut index, mut last_string) = (0, 0, None);
    while index < bytes.len() {
        match bytes[index] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b'"' => {
                let start = index + 1;
                index += 1;
                while bytes[index] != b'"' {
                    index += if bytes[index] == b'\\' { 2 } else { 1 };
                }
                last_string = Some(&text[start..index]);
            }
            b':' if depth == 1 && last_string == Some(name) => {
                return Some(text[index + 1..value_end(text, index + 1)].trim());
            }
            _ => {}
        }
        index += 1;
    }
    None
}

/// Returns where the value that begins at `start` ends.
fn value_end(text: &str, start: usize) -> usize {
    let bytes = text.as_bytes();
    let (mut depth, mut index) = (0, start);
    while index < bytes.len() {
        match bytes[index] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return index,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return index,
            b'"' => {
                index += 1;
                while bytes[index] != b'"' {
                    index += if bytes[index] == b'\\' { 2 } else { 1 };
                }
            }
            _ => {}
        }
        index += 1;
    }
    index
}
