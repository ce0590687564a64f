//! A bounded queue of lines before a writer that may be slow or stuck.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// The lines that wait at most; at 200 to 300 bytes each this is below one megabyte.
const MAX_LINES: usize = 2048;
/// The waiting lines above which only warnings and errors are taken.
const MAX_ORDINARY_LINES: usize = 1536;

/// The time between two looks at the backlog.
const CHECK_EVERY: Duration = Duration::from_millis(2);

/// A writer that hands whole lines to a thread and drops what does not fit.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    gate: SyncSender<()>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Makes a queue before a writer, with a thread of its own.
    ///
    /// The lines are held back until [`Backlog::release`] is called.
    pub fn new(to: impl Write + Send + 'static) -> Self {
        let (lines, received) = sync_channel(MAX_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let (gate, released) = sync_channel(1);
        let drain = Drain {
            released,
            received,
            waiting: waiting.clone(),
            dropped: dropped.clone(),
        };
        thread::spawn(move || drain.run(to));
        Self {
            lines,
            gate,
            waiting,
            dropped,
        }
    }

    /// Returns the number of lines that were dropped and are not reported yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the lines that are not written yet.
    pub fn backlog(&self) -> Backlog {
        Backlog {
            gate: self.gate.clone(),
            waiting: self.waiting.clone(),
        }
    }

    fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("endivespur_log_dropped_total").increment(1);
    }
}

/// The lines that are not written yet.
#[derive(Clone, Debug)]
pub struct Backlog {
    gate: SyncSender<()>,
    waiting: Arc<AtomicUsize>,
}

impl Backlog {
    /// Lets the lines be written from now on.
    pub fn release(&self) {
        // A second call finds the first one's signal taken or still there.
        self.gate.try_send(()).ok();
    }

    /// Waits until all lines are written, or `limit` is over; tells whether they are.
    pub fn wait(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            let is_empty = self.waiting.load(Ordering::Relaxed) == 0;
            if is_empty || Instant::now() >= deadline {
                return is_empty;
            }
            thread::sleep(CHECK_EVERY);
        }
    }
}

fn is_urgent(line: &[u8]) -> bool {
    let has = |text: &[u8]| line.windows(text.len()).any(|part| part == text);
    has(br#""level":"warn""#) || has(br#""level":"error""#)
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_crowded = self.waiting.load(Ordering::Relaxed) >= MAX_ORDINARY_LINES;
        if is_crowded && !is_urgent(line) {
            self.drop_line();
            return Ok(line.len());
        }
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {
                self.waiting.fetch_add(1, Ordering::Relaxed);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.drop_line(),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Drain {
    released: Receiver<()>,
    received: Receiver<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl Drain {
    fn run(self, mut to: impl Write) {
        // An error says that nobody can release or log any more.
        if self.released.recv().is_err() {
            return;
        }
        while let Ok(line) = self.received.recv() {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            let mut written = Ok(());
            if dropped > 0 {
                let note = format!(
                    "{{\"level\":\"warn\",\"part\":\"endivespur_log\",\"event\":\"log-dropped\",\
                     \"count\":{dropped},\"message\":\"lines were dropped\"}}\n"
                );
                written = to.write_all(note.as_bytes());
            }
            // Nobody reads any more: the lines that follow are dropped and counted.
            if written.and_then(|()| to.write_all(&line)).is_err() {
                return;
            }
            to.flush().ok();
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
