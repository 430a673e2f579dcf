//! The record of a case: what was sent, answered and run, with the milliseconds since its start.

use std::fs;
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines of the record; clones share them.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    /// Opens the record file.
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = fs::File::create(path)?;
        Ok(Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let millis = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{:>7} ms  {text}", millis);
    }
}
