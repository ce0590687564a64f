//! Logging never blocks: if nobody reads a full pipe, lines are dropped and neither time nor
//! memory grows.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use endivespur_log::Queue;

/// A pipe that blocks every write until it is opened.
struct BlockedPipe {
    open: Receiver<()>,
    is_open: bool,
    lines: Sender<String>,
}

impl Write for BlockedPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.open.recv().unwrap();
            self.is_open = true;
        }
        self.lines
            .send(String::from_utf8(bytes.to_vec()).unwrap())
            .unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a queue that writes to a blocked pipe, the sender that opens the pipe, and the lines
/// written to it.
fn blocked() -> (Queue, Sender<()>, Receiver<String>) {
    let (open, gate) = channel();
    let (lines, received) = channel();
    let queue = Queue::new(BlockedPipe {
        open: gate,
        is_open: false,
        lines,
    });
    queue.backlog().release();
    (queue, open, received)
}

const LINE: &[u8] = b"{\"level\":\"info\",\"event\":\"granted\"}\n";
const URGENT: &[u8] = b"{\"level\":\"warn\",\"event\":\"store-lost\"}\n";
const LINES: u64 = 100_000;

/// Returns the count in a line that reports dropped lines.
fn reported_count(line: &str) -> Option<u64> {
    let count = line.split_once("\"count\":")?.1;
    count.split(',').next()?.parse().ok()
}

#[test]
fn write_nobody_reads() {
    let (mut queue, open, received) = blocked();
    let start = Instant::now();
    for _ in 0..LINES {
        queue.write_all(LINE).unwrap();
    }
    queue.write_all(URGENT).unwrap();
    assert!(start.elapsed() < Duration::from_secs(1), "logging blocked");
    let dropped = queue.dropped();
    assert!(dropped > 0 && dropped < LINES);
    open.send(()).unwrap();
    drop(queue);
    let written: Vec<String> = received.iter().collect();
    let count = |text: &str| written.iter().filter(|line| line.contains(text)).count() as u64;
    // The writer may have reported some drops before it blocked.
    let reported: u64 = written.iter().filter_map(|line| reported_count(line)).sum();
    assert!(reported >= dropped);
    assert_eq!(count("granted") + reported, LINES);
    assert_eq!(count("store-lost"), 1, "the warning was dropped");
}

#[test]
fn write_reader_closed() {
    struct ClosedPipe;
    impl Write for ClosedPipe {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut queue = Queue::new(ClosedPipe);
    for _ in 0..10_000 {
        queue.write_all(LINE).unwrap();
    }
    assert!(queue.dropped() > 0);
}

#[test]
fn wait_last_lines_are_written() {
    let (mut queue, open, received) = blocked();
    let backlog = queue.backlog();
    for _ in 0..100 {
        queue.write_all(LINE).unwrap();
    }
    assert!(
        !backlog.wait(Duration::from_millis(20)),
        "lines were written to a blocked pipe"
    );
    open.send(()).unwrap();
    assert!(backlog.wait(Duration::from_secs(5)));
    assert_eq!(received.try_iter().count(), 100);
}

#[test]
fn release_starts_writing() {
    let (lines, received) = channel();
    let (open, gate) = channel();
    open.send(()).unwrap();
    let mut queue = Queue::new(BlockedPipe {
        open: gate,
        is_open: false,
        lines,
    });
    queue.write_all(LINE).unwrap();
    let backlog = queue.backlog();
    assert!(!backlog.wait(Duration::from_millis(50)));
    backlog.release();
    assert!(backlog.wait(Duration::from_secs(5)));
    assert_eq!(received.try_iter().count(), 1);
}
