//! Upstreams: they run requests in a few slots and record what reached them.

use std::{
    collections::BTreeMap,
    io::{ErrorKind, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Head, Reader},
    record::Record,
};

/// How many requests an upstream runs at once.
pub const SLOTS: u32 = 3;
/// One of so many answers is broken off by an upstream that does so: x = .02.
const BREAKS_ONE_IN: u64 = 50;

/// How an upstream works.
#[derive(Debug, Clone, Copy)]
pub struct Manner {
    /// How long it works on a request.
    pub work: Duration,
    /// The length of its answers.
    pub answer_bytes: usize,
}

/// A running upstream.
pub struct Upstream {
    /// Its identity.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    service: String,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    manner: Manner,
    record: Arc<Record>,
    busy: Mutex<u32>,
    freed: Condvar,
    /// How often it began to work on a request, by its id.
    runs: Mutex<BTreeMap<String, u32>>,
    answered: Mutex<u64>,
    /// Whether it fails two of three requests after it has run them.
    is_failing: AtomicBool,
    /// Whether it breaks off one of [`BREAKS_ONE_IN`] answers.
    is_breaking: AtomicBool,
}

impl Upstream {
    /// Starts an upstream of a service on a free port of `ip`.
    pub fn start(ip: Ipv4Addr, id: &str, service: &str, manner: Manner, record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for an upstream");
        let address = listener.local_addr().expect("the address of an upstream");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            manner,
            record: Arc::clone(record),
            busy: Mutex::new(0),
            freed: Condvar::new(),
            runs: Mutex::default(),
            answered: Mutex::new(0),
            is_failing: AtomicBool::new(false),
            is_breaking: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Self { id: id.to_owned(), address, service: service.to_owned(), shared }
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let Self { address, service, .. } = self;
        format!(
            r#"{{"address":"{address}","born":1700000000000,"info":{{"service":"{service}","version":"v1","zone":"zone-a","slots":{SLOTS}}},"status":{{"state":"{state}","sequence":1,"warmupLeftS":0}}}}"#
        )
    }

    /// Sets whether it breaks off one of [`BREAKS_ONE_IN`] answers in the middle.
    pub fn set_breaking(&self, is_breaking: bool) {
        self.shared.is_breaking.store(is_breaking, Ordering::Relaxed);
    }

    /// Sets whether it fails two of three requests (x = .67) after it has run them, with 503 and
    /// without `Not-Executed`.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Returns how often it began to work on the request with this id.
    pub fn runs(&self, id: &str) -> u32 {
        self.shared.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

impl Shared {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            if reader.skip(head.length()).is_err() || !self.answer(&mut reader.stream, &head) {
                return;
            }
        }
    }

    /// Answers one request; returns false if the channel ends.
    fn answer(&self, stream: &mut TcpStream, head: &Head) -> bool {
        let id = head.get("attempt-id").to_owned();
        if head.first.starts_with("GET /health ") {
            let text = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return stream.write_all(text.as_bytes()).is_ok();
        }
        if head.get("expect-instance") != self.id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        self.take_slot();
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.record.line(&format!("upstream {} runs {id}", self.id));
        let is_present = self.work(stream);
        self.free_slot();
        if !is_present {
            self.record.line(&format!("upstream {} drops {id}: its channel was closed", self.id));
            return false;
        }
        self.send_answer(stream, &id)
    }

    fn send_answer(&self, stream: &mut TcpStream, id: &str) -> bool {
        let answer_bytes = self.manner.answer_bytes;
        let count = {
            let mut answered = self.answered.lock().unwrap();
            *answered += 1;
            *answered
        };
        if self.is_failing.load(Ordering::Relaxed) && count % 3 != 0 {
            self.record.line(&format!("upstream {} fails {id} with 503", self.id));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nUpstream-Signature: {}.{id}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: {}.{id}\r\nContent-Length: {answer_bytes}\r\n\r\n",
            self.id
        );
        let body = vec![b'x'; answer_bytes];
        let breaks = self.is_breaking.load(Ordering::Relaxed) && count % BREAKS_ONE_IN == 0;
        let sent = if breaks { answer_bytes / 2 } else { answer_bytes };
        let written =
            stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body[..sent]));
        if breaks {
            self.record.line(&format!("upstream {} breaks off its answer to {id}", self.id));
        }
        written.is_ok() && !breaks
    }

    fn take_slot(&self) {
        let mut busy = self.busy.lock().unwrap();
        while *busy >= SLOTS {
            busy = self.freed.wait(busy).unwrap();
        }
        *busy += 1;
    }

    fn free_slot(&self) {
        *self.busy.lock().unwrap() -= 1;
        self.freed.notify_one();
    }

    /// Works on a request; returns false once its channel is closed.
    fn work(&self, stream: &TcpStream) -> bool {
        let end = Instant::now() + self.manner.work;
        let mut byte = [0];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = stream.set_read_timeout(None);
                return true;
            }
            let _ = stream.set_read_timeout(Some(left));
            match stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => thread::sleep(left),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }
}
