//! A bounded queue of lines for a writer that may be slow or blocked.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// The capacity of the queue; at 200 to 300 bytes a line this is below one megabyte.
const MAX_LINES: usize = 2048;
/// The number of queued lines from which on only warnings and errors are accepted.
const MAX_ORDINARY_LINES: usize = 1536;

/// The interval at which [`Backlog::wait`] polls the queue.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A writer that queues whole lines for a writer thread and drops the lines that do not fit.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    release: SyncSender<()>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Creates a queue and starts a thread that writes its lines to `writer`.
    ///
    /// No lines are written until [`Backlog::release`] is called.
    pub fn new(writer: impl Write + Send + 'static) -> Self {
        let (lines, received) = sync_channel(MAX_LINES);
        let queued = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let (release, released) = sync_channel(1);
        let worker = Worker {
            released,
            received,
            queued: queued.clone(),
            dropped: dropped.clone(),
        };
        thread::spawn(move || worker.run(writer));
        Self {
            lines,
            release,
            queued,
            dropped,
        }
    }

    /// Returns the number of dropped lines that have not been reported in the log yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns a handle to the lines that are not written yet.
    pub fn backlog(&self) -> Backlog {
        Backlog {
            release: self.release.clone(),
            queued: self.queued.clone(),
        }
    }

    fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("endivespur_log_dropped_total").increment(1);
    }
}

/// A handle to the lines that are not written yet.
#[derive(Clone, Debug)]
pub struct Backlog {
    release: SyncSender<()>,
    queued: Arc<AtomicUsize>,
}

impl Backlog {
    /// Starts the writing of lines.
    pub fn release(&self) {
        // A repeated call has no effect: the first signal is still queued or already received.
        self.release.try_send(()).ok();
    }

    /// Waits for at most `timeout` until all lines are written; returns whether they are.
    pub fn wait(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let is_empty = self.queued.load(Ordering::Relaxed) == 0;
            if is_empty || Instant::now() >= deadline {
                return is_empty;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Returns whether a line is a warning or an error.
fn is_urgent(line: &[u8]) -> bool {
    let contains = |text: &[u8]| line.windows(text.len()).any(|window| window == text);
    contains(br#""level":"warn""#) || contains(br#""level":"error""#)
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_nearly_full = self.queued.load(Ordering::Relaxed) >= MAX_ORDINARY_LINES;
        if is_nearly_full && !is_urgent(line) {
            self.drop_line();
            return Ok(line.len());
        }
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {
                self.queued.fetch_add(1, Ordering::Relaxed);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.drop_line(),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The state of the writer thread.
struct Worker {
    released: Receiver<()>,
    received: Receiver<Vec<u8>>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl Worker {
    fn run(self, mut writer: impl Write) {
        // An error means that the queue and all backlog handles were dropped.
        if self.released.recv().is_err() {
            return;
        }
        while let Ok(line) = self.received.recv() {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            let mut written = Ok(());
            if dropped > 0 {
                let report = format!(
                    "{{\"level\":\"warn\",\"part\":\"endivespur_log\",\"event\":\"log-dropped\",\
                     \"count\":{dropped},\"message\":\"lines were dropped\"}}\n"
                );
                written = writer.write_all(report.as_bytes());
            }
            // A write fails once the reader has closed its end. The thread then ends, so all
            // following lines are dropped and counted.
            if written.and_then(|()| writer.write_all(&line)).is_err() {
                return;
            }
            writer.flush().ok();
            self.queued.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
