//! Stand-ins of upstreams: they run what they get and note it.

use std::{
    io::BufReader,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub tenant: String,
    pub at: Instant,
}

/// How an upstream works.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub slots: usize,
    pub time: Duration,
    pub answer_bytes: usize,
}

/// All runs at all upstreams.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts an upstream and returns its address.
pub fn start(id: &str, work: &Work, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for an upstream");
    let addr = listener.local_addr().expect("an address");
    let (id, runs, work) = (id.to_owned(), Arc::clone(runs), *work);
    let busy = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, busy) = (id.clone(), Arc::clone(&runs), Arc::clone(&busy));
            thread::spawn(move || serve(stream, &id, &work, &runs, &busy));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, id: &str, work: &Work, runs: &Runs, busy: &AtomicUsize) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Ok(Some(request)) = http::read(&mut reader) {
        let attempt = request.header("attempt-id").unwrap_or("-").to_owned();
        if request.word(1) == "/health" {
            let _ = http::respond(&mut stream, 200, &[("Instance-Id", id)], b"");
            continue;
        }
        let headers = [("Attempt-Id", attempt.as_str()), ("Instance-Id", id)];
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            let _ = http::respond(&mut stream, 421, &headers, b"");
            continue;
        }
        if busy.fetch_add(1, Ordering::SeqCst) >= work.slots {
            busy.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            let _ = http::respond(&mut stream, 503, &headers, b"");
            continue;
        }
        let tenant = request.header("tenant").unwrap_or("-").to_owned();
        let run = Run { id: attempt.clone(), upstream: id.to_owned(), tenant, at: Instant::now() };
        runs.lock().unwrap().push(run);
        thread::sleep(work.time);
        busy.fetch_sub(1, Ordering::SeqCst);
        let signature = format!("{id}.{attempt}");
        let headers = [("Attempt-Id", attempt.as_str()), ("Upstream-Signature", &signature)];
        let mut body = attempt.clone().into_bytes();
        body.resize(work.answer_bytes.max(body.len()), b'.');
        if http::respond(&mut stream, 200, &headers, &body).is_err() {
            return;
        }
    }
}
