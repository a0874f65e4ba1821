//! The file `record.txt`: what was sent, answered and run.

use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in the working directory.
    pub fn create() -> Self {
        let file = File::create("record.txt").expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn note(&self, line: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().expect("no thread panics");
        writeln!(file, "{ms:>6} ms  {line}").expect("record.txt can be written");
        println!("{ms:>6} ms  {line}");
    }
}
