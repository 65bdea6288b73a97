//! Structured logs on standard output that never block the process.
//!
//! Lines are appended to a bounded buffer that a dedicated thread writes out. When the reader of
//! standard output is slow, lines are dropped and counted instead of waiting for it.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use log::{Level, LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;

use crate::Clock;

/// Budget of lines below `warn`, in bytes per second.
const INFO_BYTES_PER_S: usize = 256 * 1024;
/// Separate budget of lines at `warn` and above, in bytes per second.
const WARN_BYTES_PER_S: usize = 256 * 1024;
/// The window over which the budgets are counted.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// How long [`LogWriter::close`] waits for the last lines to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often [`LogWriter::close`] checks whether the writer has finished.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time between two writes to standard output.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// The number of dropped lines; process-wide, as the logger is.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the process started.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// A handle on the thread that writes the log.
#[derive(Debug)]
pub struct LogWriter {
    shared: Arc<Shared>,
    writer: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    closed: AtomicBool,
}

/// Pending lines, and the bytes that the current window has used of each budget.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    window_start: Option<Instant>,
    info_bytes: usize,
    warn_bytes: usize,
    dropped: u64,
}

/// The end of the logger chain, which appends lines to the buffer.
#[derive(Debug)]
struct Sink(Arc<Shared>);

impl LogWriter {
    /// Writes the pending lines and stops the writer.
    ///
    /// Lines that cannot be written within a fixed timeout are lost.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        self.writer.thread().unpark();
        let end = Instant::now() + CLOSE_TIMEOUT;
        while !self.writer.is_finished() {
            if Instant::now() > end {
                eprintln!("standard output is blocked; the last log lines are lost");
                return;
            }
            thread::sleep(CLOSE_POLL_INTERVAL);
        }
        if self.writer.join().is_err() {
            eprintln!("the log writer panicked; the last log lines are lost");
        }
    }
}

/// Logs records of at least `level` to standard output, one line of `key=value` pairs each.
///
/// Lines below `warn` and lines at `warn` or above have separate budgets of bytes per second. Lines
/// over budget are dropped, and an `event=log-lines-dropped` line reports their number.
///
/// # Errors
/// Fails if a logger is already set or the writer cannot be started.
pub fn init(
    level: LevelFilter,
    host: &str,
    program: &'static str,
    clock: Clock,
) -> io::Result<LogWriter> {
    let shared = Arc::new(Shared::default());
    let sink: Box<dyn Log> = Box::new(Sink(Arc::clone(&shared)));
    let host = host.to_owned();
    let labels = format!("host={host} program={program}");
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for("citron_gateway", level)
        .level_for("citron_adapter", level)
        .level_for("rocket", LevelFilter::Off)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "wall_ms={} level={} host={host} program={program} {message}",
                clock.wall_ms(),
                record.level(),
            ));
        })
        .chain(sink)
        .apply()
        .map_err(io::Error::other)?;
    let writer = {
        let shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || run_writer(&shared, &clock, &labels))?
    };
    Ok(LogWriter { shared, writer })
}

impl Log for Sink {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.buffer.lock().push(record);
    }

    fn flush(&self) {}
}

impl Buffer {
    fn push(&mut self, record: &Record<'_>) {
        let now = Instant::now();
        if self.window_start.is_none_or(|start| now - start >= BUDGET_WINDOW) {
            (self.window_start, self.info_bytes, self.warn_bytes) = (Some(now), 0, 0);
        }
        let before = self.bytes.len();
        // Writing to memory cannot fail.
        let _ = writeln!(self.bytes, "{}", record.args());
        let length = self.bytes.len() - before;
        let (used, limit) = if record.level() <= Level::Warn {
            (&mut self.warn_bytes, WARN_BYTES_PER_S)
        } else {
            (&mut self.info_bytes, INFO_BYTES_PER_S)
        };
        // Bounds the buffer over several windows when the reader of standard output has stopped.
        let is_full = self.bytes.len() > INFO_BYTES_PER_S + WARN_BYTES_PER_S;
        if *used + length > limit || is_full {
            self.bytes.truncate(before);
            self.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
        } else {
            *used += length;
        }
    }

    /// Takes the pending lines, followed by a line that reports dropped ones.
    fn take(&mut self, clock: &Clock, labels: &str) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            let wall_ms = clock.wall_ms();
            let _ = writeln!(
                bytes,
                "wall_ms={wall_ms} level=WARN {labels} event=log-lines-dropped count={dropped}"
            );
        }
        bytes
    }
}

fn run_writer(shared: &Shared, clock: &Clock, labels: &str) {
    let mut out = io::stdout();
    loop {
        let closed = shared.closed.load(Ordering::Relaxed);
        let bytes = shared.buffer.lock().take(clock, labels);
        if !bytes.is_empty() && out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            // Standard output is closed, so this failure cannot be logged either.
            return;
        }
        if closed {
            return;
        }
        thread::park_timeout(WRITE_INTERVAL);
    }
}
