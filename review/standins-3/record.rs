//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt`; clones share it.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record(Arc::new(Inner { file: Mutex::new(File::create(path)?), start: Instant::now() })))
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.0.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7.3} s  {}\n", self.now_ms() as f64 / 1000.0, text.as_ref());
        let mut file = self.0.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
