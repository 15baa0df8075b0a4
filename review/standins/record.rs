//! Record of what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at_s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:8.3} s  {}", text.as_ref());
    }
}
