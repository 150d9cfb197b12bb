//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// A record that all stand-ins and clients of a case write to.
#[derive(Clone, Debug)]
pub struct Recorder {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{seconds:8.3} s  {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
