//! Record of a run: what was sent, answered and run, and the broken rules.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
    breaks: AtomicUsize,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started_at: Instant::now(),
            breaks: AtomicUsize::new(0),
        })
    }

    /// Milliseconds since the start of the run. The stand-ins use it as the servers' clock.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("record");
        // A record that cannot be written must not pass for a run without a break.
        file.write_all(line.as_bytes()).expect("record");
    }

    /// Records that a rule is broken.
    pub fn broken(&self, rule: &str, text: &str) {
        self.breaks.fetch_add(1, Ordering::SeqCst);
        self.line(&format!("BROKEN {rule}: {text}"));
    }

    pub fn breaks(&self) -> usize {
        self.breaks.load(Ordering::SeqCst)
    }
}
