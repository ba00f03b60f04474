//! The record of a case: what was sent, answered and run, with the time since the case began.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use crate::Failure;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &str) -> Result<Self, Failure> {
        Ok(Record {
            began: Instant::now(),
            file: Mutex::new(File::create(Path::new(folder).join("record.txt"))?),
        })
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let text = format!("{:>6} ms  {line}\n", self.now());
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        if let Err(error) = file.write_all(text.as_bytes()) {
            eprintln!("record: {error}");
        }
    }
}
