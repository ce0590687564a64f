//! Structured logs: one JSON object a line, written without ever blocking who logs.

mod line;
mod queue;

use std::io::Write;

use env_logger::{Builder, Env, Target};

pub use queue::{Backlog, Queue};

/// Sets the process's logger up; it writes to standard output.
///
/// `RUST_LOG` filters by part and level as `env_logger` describes; `info` is the default.
/// Lines are written once the backlog is released, so that the process may print something
/// before them; the last ones only if it waits for the backlog before it ends.
pub fn start() -> Backlog {
    let queue = Queue::new(std::io::stdout());
    let backlog = queue.backlog();
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue)))
        .format(|out, record| {
            let mut line = line::encode(record);
            line.push(b'\n');
            out.write_all(&line)
        })
        .init();
    backlog
}
