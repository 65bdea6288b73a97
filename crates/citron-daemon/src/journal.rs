//! Structured logs on standard output that never hold up the process.
//!
//! Lines are put into a bounded buffer; a thread of its own writes them out. When a reader is
//! slow, lines are dropped and counted instead of waiting.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use log::{LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;
use serde_json::json;

use crate::Clock;

/// The most bytes that wait to be written.
const BUFFER_LIMIT_BYTES: usize = 512 * 1024;
/// The time between two writes.
const WRITE_GAP: Duration = Duration::from_millis(100);

/// The running log of a process.
#[derive(Debug)]
pub struct Journal {
    shared: Arc<Shared>,
    writer: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    closed: AtomicBool,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Puts lines into the buffer.
#[derive(Debug)]
struct Sink(Arc<Shared>);

impl Journal {
    /// Writes what waits and ends the writer.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        self.writer.thread().unpark();
        if self.writer.join().is_err() {
            eprintln!("the log's writer panicked; its last lines are lost");
        }
    }
}

/// Sends log records of at least `level` to standard output, one JSON object a line.
///
/// # Errors
/// Fails if a logger is already set or the writer cannot be started.
pub fn init(
    level: LevelFilter,
    host: &str,
    program: &'static str,
    clock: Clock,
) -> io::Result<Journal> {
    let shared = Arc::new(Shared::default());
    let sink: Box<dyn Log> = Box::new(Sink(Arc::clone(&shared)));
    let host = host.to_owned();
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for("citron_gateway", level)
        .level_for("citron_adapter", level)
        .level_for("rocket", LevelFilter::Off)
        .format(move |out, message, record| {
            let line = json!({
                "wall_ms": clock.wall_ms(),
                "level": record.level().as_str(),
                "host": host,
                "program": program,
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(sink)
        .apply()
        .map_err(io::Error::other)?;
    let writer = {
        let shared = Arc::clone(&shared);
        thread::Builder::new().name("journal".to_owned()).spawn(move || write(&shared))?
    };
    Ok(Journal { shared, writer })
}

impl Log for Sink {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut buffer = self.0.buffer.lock();
        if buffer.bytes.len() >= BUFFER_LIMIT_BYTES {
            buffer.dropped += 1;
            return;
        }
        // Writing to memory cannot fail.
        let _ = writeln!(buffer.bytes, "{}", record.args());
    }

    fn flush(&self) {}
}

fn write(shared: &Shared) {
    let mut out = io::stdout();
    loop {
        let closed = shared.closed.load(Ordering::Relaxed);
        let Buffer { bytes, dropped } = std::mem::take(&mut *shared.buffer.lock());
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            // Nobody reads the log any more; there is no other place to say so.
            return;
        }
        if dropped > 0 {
            log::warn!("event=log-lines-dropped count={dropped}");
        }
        if closed {
            return;
        }
        thread::park_timeout(WRITE_GAP);
    }
}
