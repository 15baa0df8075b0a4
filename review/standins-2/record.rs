//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::Instant;

pub struct Record {
    file: File,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: File::create(path)?,
            started_at: Instant::now(),
        })
    }

    /// Writes a line with the present time.
    pub fn line(&mut self, what: &str, text: &str) {
        self.line_at(Instant::now(), what, text);
    }

    pub fn line_at(&mut self, at: Instant, what: &str, text: &str) {
        let seconds = at.saturating_duration_since(self.started_at).as_secs_f64();
        let _ = writeln!(self.file, "{seconds:7.3} s  {what}: {text}");
        eprintln!("{seconds:7.3} s  {what}: {text}");
    }
}
