//! Structured logs: one JSON object per line, written without blocking the logging thread.

mod line;
mod queue;

use std::io::Write;

use env_logger::{Builder, Env, Target};

pub use queue::{Backlog, Queue};

/// Installs the process's logger, which writes to standard output.
///
/// `RUST_LOG` filters by target and level as `env_logger` documents; `info` is the default.
/// Lines are written only after [`Backlog::release`], so that the process can print other output
/// before them. The last lines may be lost unless the process calls [`Backlog::wait`] before it
/// exits.
///
/// # Panics
///
/// Panics if a logger is already installed.
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
