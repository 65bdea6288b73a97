//! A stand-in of the platform's store that speaks its published protocol.

use std::{
    borrow::Borrow,
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use citron_daemon::Server;
use parking_lot::Mutex;
use rocket::{
    State, delete, fairing::AdHoc, get, http::Status, post, put, response::status::Custom, routes,
    serde::json::Json,
};
use serde_json::{Value, json};
use tokio::{sync::Notify, time};

/// The header that names the era in all answers.
const ERA: &str = "Store-Era";

/// How the store treats all calls.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Mood {
    /// Answers at once.
    Well,
    /// Refuses with this status.
    Refusing(u16),
    /// Answers nothing: a call that comes meanwhile is never answered, a watch that waits goes on.
    Silent,
    /// Answers after so many milliseconds.
    Slow(u64),
    /// Does what it is asked, and answers no write.
    LosingAnswers,
    /// Does writes so many milliseconds later, and answers none.
    WritingLate(u64),
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<Contents>,
    changed: Notify,
}

#[derive(Debug)]
struct Contents {
    /// Rises by one each time the store comes back from a copy.
    era: u64,
    saved: Copy,
    /// What a list shows that may be stale, if that is not what the store holds.
    stale: Option<Copy>,
    mood: Mood,
    calls: u64,
}

/// What the store holds, from which it may come back.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    oldest: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<(u64, String, Value)>,
}

type Answer = Custom<Json<Value>>;

impl Store {
    /// Starts an empty store on a free port.
    pub async fn bind() -> Self {
        let saved = Copy { revision: 3, oldest: 0, objects: BTreeMap::new(), history: Vec::new() };
        let state = Contents { era: 1, saved, stale: None, mood: Mood::Well, calls: 0 };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Notify::new() });
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let current = Arc::clone(&shared);
        let era = AdHoc::on_response("era", move |_, response| {
            let era = current.state.lock().era;
            Box::pin(async move {
                response.set_raw_header(ERA, era.to_string());
            })
        });
        let rocket = rocket::custom(citron_daemon::config(addr))
            .manage(Arc::clone(&shared))
            .attach(era)
            .mount("/v1/objects", routes![list, one, create, replace, remove]);
        let server = citron_daemon::bind(rocket, addr).await.expect("a store");
        Self { server, shared }
    }

    /// Returns where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes an object as its owner does.
    pub fn put(&self, kind: &str, name: &str, spec: impl Borrow<Value>) {
        self.shared.state.lock().saved.write(kind, name, spec.borrow());
        self.shared.changed.notify_waiters();
    }

    /// Removes an object as its owner does.
    pub fn delete(&self, kind: &str, name: &str) {
        self.shared.state.lock().saved.remove(kind, name);
        self.shared.changed.notify_waiters();
    }

    /// Sets how it treats all calls.
    pub fn set(&self, mood: Mood) {
        self.shared.state.lock().mood = mood;
        self.shared.changed.notify_waiters();
    }

    /// Discards the history and cuts the watches that wait.
    pub fn forget_history(&self) {
        let mut state = self.shared.state.lock();
        state.saved.oldest = state.saved.revision;
        state.saved.history.clear();
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns a copy of what it holds.
    pub fn copy(&self) -> Copy {
        self.shared.state.lock().saved.clone()
    }

    /// Answers lists that may be stale from a copy from now on.
    pub fn list_stale(&self, copy: Copy) {
        self.shared.state.lock().stale = Some(copy);
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out
    /// again. Watches that wait are never answered.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.shared.state.lock();
        state.saved = copy;
        state.era += 1;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns what an object says.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.shared.state.lock().saved.objects.get(&key).map(|object| object["spec"].clone())
    }

    /// Returns what the objects of a kind say, by name.
    pub fn objects(&self, kind: &str) -> BTreeMap<String, Value> {
        let state = self.shared.state.lock();
        let of_kind = state.saved.objects.iter().filter(|((of, _), _)| of == kind);
        of_kind.map(|((_, name), object)| (name.clone(), object["spec"].clone())).collect()
    }

    /// Returns how many calls came.
    pub fn calls(&self) -> u64 {
        self.shared.state.lock().calls
    }
}

impl Copy {
    fn write(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        self.revision += 1;
        let object = json!({
            "metadata": {"name": name, "revision": self.revision, "createdAt": 1, "finalizers": [], "deleting": false},
            "spec": spec, "status": null,
        });
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = json!({"deleted": false, "object": object});
        self.history.push((self.revision, kind.to_owned(), event));
        object
    }

    /// Writes an object unless it says that already, which is no change.
    fn replace(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        let current = self.objects.get(&(kind.to_owned(), name.to_owned()));
        match current.filter(|object| object["spec"] == *spec) {
            Some(object) => object.clone(),
            None => self.write(kind, name, spec),
        }
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let event = json!({"deleted": true, "object": object});
        self.history.push((self.revision, kind.to_owned(), event));
        true
    }
}

/// Counts a call and treats it by the store's mood.
async fn admit(shared: &Shared) -> Result<(), Answer> {
    let mood = {
        let mut state = shared.state.lock();
        state.calls += 1;
        state.mood
    };
    match mood {
        Mood::Well | Mood::LosingAnswers | Mood::WritingLate(_) => Ok(()),
        Mood::Slow(millis) => {
            time::sleep(Duration::from_millis(millis)).await;
            Ok(())
        }
        Mood::Refusing(status) => {
            Err(Custom(Status::from_code(status).expect("a status"), Json(Value::Null)))
        }
        Mood::Silent => Err(silence().await),
    }
}

/// Answers nothing for as long as anybody waits.
async fn silence() -> Answer {
    time::sleep(Duration::from_secs(3600)).await;
    Custom(Status::ServiceUnavailable, Json(Value::Null))
}

/// Does a write when and as the store's mood has it.
async fn write(shared: &Shared, act: impl FnOnce(&mut Copy) -> Answer) -> Answer {
    if let Err(refusal) = admit(shared).await {
        return refusal;
    }
    let mood = shared.state.lock().mood;
    if let Mood::WritingLate(millis) = mood {
        time::sleep(Duration::from_millis(millis)).await;
    }
    let answer = act(&mut shared.state.lock().saved);
    shared.changed.notify_waiters();
    match mood {
        Mood::LosingAnswers | Mood::WritingLate(_) => silence().await,
        _ => answer,
    }
}

fn ok(value: Value) -> Answer {
    Custom(Status::Ok, Json(value))
}

#[get("/<kind>?<watch>&<after>&<waitMs>&<allowStale>")]
#[expect(non_snake_case, reason = "the name of the query parameter on the wire")]
async fn list(
    shared: &State<Arc<Shared>>,
    kind: &str,
    watch: Option<u64>,
    after: Option<&str>,
    waitMs: Option<u64>,
    allowStale: Option<u8>,
) -> Answer {
    /// Objects on a page.
    const PAGE: usize = 2;
    if let Err(refusal) = admit(shared).await {
        return refusal;
    }
    let era = shared.state.lock().era;
    let Some(since) = watch else {
        let contents = &*shared.state.lock();
        let stale = contents.stale.as_ref().filter(|_| allowStale == Some(1));
        let state = stale.unwrap_or(&contents.saved);
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && after.is_none_or(|after| name.as_str() > after));
        let mut items: Vec<Value> = of_kind.map(|(_, object)| object.clone()).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        return ok(json!({"items": items, "hasMore": more, "asOf": state.revision}));
    };
    let deadline = time::Instant::now() + Duration::from_millis(waitMs.unwrap_or(0));
    loop {
        let changed = shared.changed.notified();
        let is_silent = {
            let state = shared.state.lock();
            if matches!(state.mood, Mood::Refusing(_)) {
                return Custom(Status::ServiceUnavailable, Json(Value::Null));
            }
            let is_silent = state.mood == Mood::Silent || state.era != era;
            let saved = &state.saved;
            if !(saved.oldest..=saved.revision).contains(&since) && !is_silent {
                return Custom(Status::Gone, Json(Value::Null));
            }
            let newer = saved.history.iter().filter(|(at, k, _)| *at > since && k == kind);
            let events: Vec<Value> = newer.map(|(_, _, event)| event.clone()).collect();
            let is_due = !events.is_empty() || time::Instant::now() >= deadline;
            if is_due && !is_silent {
                return ok(json!({"events": events, "asOf": saved.revision}));
            }
            is_silent
        };
        if is_silent {
            changed.await;
            continue;
        }
        let _ = time::timeout_at(deadline, changed).await;
    }
}

#[get("/<kind>/<name>")]
async fn one(shared: &State<Arc<Shared>>, kind: &str, name: &str) -> Answer {
    if let Err(refusal) = admit(shared).await {
        return refusal;
    }
    match shared.state.lock().saved.objects.get(&(kind.to_owned(), name.to_owned())) {
        Some(object) => ok(object.clone()),
        None => Custom(Status::NotFound, Json(Value::Null)),
    }
}

#[post("/<kind>", data = "<body>")]
async fn create(shared: &State<Arc<Shared>>, kind: &str, body: Json<Value>) -> Answer {
    let name = body["metadata"]["name"].as_str().unwrap_or_default();
    write(shared, |state| match state.objects.get(&(kind.to_owned(), name.to_owned())) {
        Some(object) => Custom(Status::Conflict, Json(object.clone())),
        None => ok(state.write(kind, name, &body["spec"])),
    })
    .await
}

#[put("/<kind>/<name>", data = "<body>")]
async fn replace(shared: &State<Arc<Shared>>, kind: &str, name: &str, body: Json<Value>) -> Answer {
    write(shared, |state| ok(state.replace(kind, name, &body["spec"]))).await
}

#[delete("/<kind>/<name>")]
async fn remove(shared: &State<Arc<Shared>>, kind: &str, name: &str) -> Answer {
    write(shared, |state| {
        let status = if state.remove(kind, name) { Status::Ok } else { Status::NotFound };
        Custom(status, Json(Value::Null))
    })
    .await
}
