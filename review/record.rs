//! The record of a run: one line for each event, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The record of a run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, which replaces that of an earlier run.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        let written = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
        written.expect("the record can be written");
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
