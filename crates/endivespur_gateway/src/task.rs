//! Tasks on the process's thread, one of which may panic without ending the others.

use std::cell::Cell;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use event_listener::Event;
use futures_util::FutureExt;
use log::error;
use smol::LocalExecutor;

/// The tasks of a process.
///
/// What a task shares with others may be half changed after a panic, so that the process should stop. The requests
/// that other tasks handle can still be answered.
#[derive(Clone)]
pub struct Tasks {
    executor: Rc<LocalExecutor<'static>>,
    panics: Rc<Panics>,
}

#[derive(Default)]
struct Panics {
    count: Cell<usize>,
    changed: Event,
}

impl Tasks {
    /// Creates a set that runs on an executor.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor,
            panics: Rc::default(),
        }
    }

    /// Spawns a detached task. If it panics, it is dropped.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let panics = self.panics.clone();
        let caught = AssertUnwindSafe(task).catch_unwind();
        let task = async move {
            if caught.await.is_err() {
                panics.count.set(panics.count.get() + 1);
                error!(event = "panic", count = panics.count.get(); "a task panicked");
                panics.changed.notify(usize::MAX);
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Waits until a task has panicked.
    pub async fn panicked(&self) {
        while self.panics.count.get() == 0 {
            let listener = self.panics.changed.listen();
            if self.panics.count.get() == 0 {
                listener.await;
            }
        }
    }
}
