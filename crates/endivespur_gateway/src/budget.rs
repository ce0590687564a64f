//! Bounds the memory and the connections that are held for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::budget::{self, Answer, Connections, Id, Kind, Limits};
use endivespur_platform::settings::Settings;
use event_listener::Event;
use log::{info, warn};
use metrics::counter;
use smol::future::FutureExt;

use crate::timer;

/// The bytes up to which a body is only counted: the limits of connections bound how many there are.
pub const SMALL_BYTES: usize = 16 * 1024;
/// The size of the blocks that hold more.
pub const BLOCK_BYTES: usize = 16 * 1024;
/// The maximum time that a transfer waits, in all, until others have given way.
const ROOM_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval at which a transfer that waits asks again: others may have stalled meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// For so many connections of gateways that may be open, one refused one may drain. Callers and gateways leave a
/// twelfth of the descriptors beside the connections to endpoints, and this takes a sixteenth.
const DRAINING_SHARE: usize = 2;
/// The maximum number of log lines in a second about what was shed.
const MAX_LINES: u32 = 20;

/// A flag that is set once, and can be waited for.
#[derive(Default)]
struct Signal {
    is_set: Cell<bool>,
    changed: Event,
}

impl Signal {
    fn set(&self) {
        self.is_set.set(true);
        self.changed.notify(usize::MAX);
    }

    async fn wait(&self) {
        while !self.is_set.get() {
            self.changed.listen().await;
        }
    }
}

/// The number of log lines in the current second.
#[derive(Clone, Copy, Default)]
struct Lines {
    since: Time,
    count: u32,
    omitted: u64,
}

/// The clients that connections belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Client {
    /// Callers.
    Caller,
    /// Gateways whose requests are forwarded.
    Gateway,
}

/// The connections of one kind of clients, and how they are told to end.
struct Open {
    connections: RefCell<Connections>,
    /// The signals of all open connections, those that were told to end included.
    signals: RefCell<BTreeMap<Id, Rc<Signal>>>,
    /// Signals that a connection was closed.
    closed: Event,
}

impl Open {
    fn new(limit: usize) -> Self {
        Self {
            connections: RefCell::new(Connections::new(limit)),
            signals: RefCell::default(),
            closed: Event::new(),
        }
    }

    /// Returns the number of connections that were told to end and are still open.
    fn ending(&self) -> usize {
        self.signals.borrow().len() - self.connections.borrow().count()
    }
}

/// What the process holds for others.
pub struct Budget {
    memory: RefCell<budget::Budget>,
    signals: RefCell<BTreeMap<Id, Rc<Signal>>>,
    /// Signals that memory has been released.
    released: Event,
    /// The bytes of small bodies.
    pub small: Cell<usize>,
    callers: Open,
    gateways: Open,
    /// The refused connections of gateways whose rest is discarded.
    draining: Cell<usize>,
    max_draining: Cell<usize>,
    lines: Cell<Lines>,
}

impl Budget {
    /// Creates a budget with the limits that the settings give.
    pub fn new(settings: &Settings) -> Self {
        let limits = Limits::new(settings.memory_limit, settings.max_descriptors);
        Self {
            memory: RefCell::new(budget::Budget::new(limits.memory)),
            signals: RefCell::default(),
            released: Event::new(),
            small: Cell::new(0),
            callers: Open::new(limits.callers),
            gateways: Open::new(limits.forwards),
            draining: Cell::new(0),
            max_draining: Cell::new(limits.forwards.div_ceil(DRAINING_SHARE)),
            lines: Cell::default(),
        }
    }

    /// Changes the limits to those that other settings give.
    pub fn reload(&self, settings: &Settings) {
        let limits = Limits::new(settings.memory_limit, settings.max_descriptors);
        self.memory.borrow_mut().set_limit(limits.memory);
        let set = |open: &Open, limit| open.connections.borrow_mut().set_limit(limit);
        set(&self.callers, limits.callers);
        set(&self.gateways, limits.forwards);
        self.max_draining
            .set(limits.forwards.div_ceil(DRAINING_SHARE));
        info!(
            event = "limits", memory = limits.memory, callers = limits.callers,
            forwards = limits.forwards; "limits of what is held for others"
        );
    }

    /// Returns the size of the largest body that fits if nothing else is held.
    pub fn max_body(&self) -> usize {
        let blocks = self.memory.borrow().limit() as usize / BLOCK_BYTES;
        SMALL_BYTES.saturating_add(blocks * BLOCK_BYTES)
    }

    /// Logs if a body within a limit of the configuration never fits.
    pub fn check_body_limit(&self, limit: usize) {
        let max = self.max_body();
        if max < limit {
            warn!(event = "limits", max, limit; "the memory of the VM is too small for the largest bodies");
        }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.memory.borrow().held() + self.small.get() as u64
    }

    /// Returns the number of connections of one kind of clients.
    pub fn connection_count(&self, client: Client) -> usize {
        self.open(client).connections.borrow().count()
    }

    fn open(&self, client: Client) -> &Open {
        match client {
            Client::Caller => &self.callers,
            Client::Gateway => &self.gateways,
        }
    }

    /// Adds a connection; tells others to end if there are too many.
    pub fn connect(self: &Rc<Self>, client: Client) -> Connected {
        let open = self.open(client);
        let (id, closed) = open.connections.borrow_mut().open(clock::now());
        let signal = Rc::new(Signal::default());
        let mut signals = open.signals.borrow_mut();
        signals.insert(id, signal.clone());
        for closed in closed {
            if let Some(signal) = signals.get(&closed) {
                signal.set();
                self.record_shed("connections", 0);
            }
        }
        drop(signals);
        Connected {
            budget: self.clone(),
            client,
            id,
            signal,
            is_busy: Cell::default(),
            has_blocked: Cell::default(),
        }
    }

    /// Waits until the connections that were told to end are closed. Without this, a backlog of the kernel would be
    /// accepted before the tasks of these connections run, and use up the descriptors.
    pub async fn ended(&self, client: Client) {
        let open = self.open(client);
        // Those that drain are limited by themselves.
        while open.ending() > self.draining.get() {
            open.closed.listen().await;
        }
    }

    /// Counts a refused connection of a gateway whose rest is discarded; returns `None` if there are too many.
    pub fn drain(self: &Rc<Self>) -> Option<Draining> {
        let count = self.draining.get();
        (count < self.max_draining.get()).then(|| {
            self.draining.set(count + 1);
            Draining(self.clone())
        })
    }

    /// Counts and logs that something was shed.
    pub fn record_shed(&self, reason: &'static str, bytes: usize) {
        counter!("endivespur_gateway_shed_total", "reason" => reason).increment(1);
        let now = clock::now();
        let mut lines = self.lines.get();
        if now.saturating_sub(lines.since) >= Duration::from_secs(1) {
            lines.since = now;
            lines.count = 0;
        }
        if lines.count < MAX_LINES {
            lines.count += 1;
            let held = self.held();
            info!(event = "shed", reason, bytes, held, omitted = lines.omitted; "gave way");
            lines.omitted = 0;
        } else {
            lines.omitted += 1;
        }
        self.lines.set(lines);
    }

    /// Tells transfers to give way.
    fn tell(&self, ids: &[Id]) {
        let signals = self.signals.borrow();
        for id in ids {
            if let Some(signal) = signals.get(id) {
                signal.set();
            }
        }
    }
}

/// An open connection; it is removed when dropped.
pub struct Connected {
    /// The budget that it is part of.
    pub budget: Rc<Budget>,
    client: Client,
    id: Id,
    signal: Rc<Signal>,
    /// Whether it carries a complete request.
    is_busy: Cell<bool>,
    /// Whether the socket did not take all of the current answer at once.
    has_blocked: Cell<bool>,
}

impl Connected {
    /// Records that bytes of a request have arrived.
    pub fn advance(&self) {
        let open = self.budget.open(self.client);
        open.connections.borrow_mut().advance(clock::now(), self.id);
    }

    /// Records whether the connection carries a complete request; returns false if it has to be closed.
    pub fn set_busy(&self, is_busy: bool) -> bool {
        let open = self.budget.open(self.client);
        let mut connections = open.connections.borrow_mut();
        let is_open = connections.set_busy(clock::now(), self.id, is_busy);
        self.has_blocked.set(false);
        self.is_busy.set(is_busy && is_open);
        is_open
    }

    /// Returns whether the connection has to be closed in the middle of an answer, since its reader is slow.
    pub fn is_cut(&self) -> bool {
        self.is_refused() && self.is_busy.get()
    }

    /// Records that the socket does not take all of an answer at once.
    pub fn begin_write(&self) {
        self.has_blocked.set(true);
        let open = self.budget.open(self.client);
        let mut connections = open.connections.borrow_mut();
        connections.begin_write(clock::now(), self.id);
    }

    /// Records that the socket has taken bytes of an answer, and whether it has taken all that was written.
    pub fn advance_write(&self, bytes: usize, is_end: bool) {
        if self.has_blocked.get() {
            let open = self.budget.open(self.client);
            let mut connections = open.connections.borrow_mut();
            connections.advance_write(clock::now(), self.id, bytes as u64, is_end);
        }
    }

    /// Records that the socket has taken all that has arrived of an answer.
    pub fn catch_up(&self) {
        if self.has_blocked.replace(false) {
            let open = self.budget.open(self.client);
            open.connections.borrow_mut().catch_up(self.id);
        }
    }

    /// Returns whether so many connections are open that readers are likely to be measured.
    pub fn is_crowded(&self) -> bool {
        let open = self.budget.open(self.client);
        open.connections.borrow().is_crowded()
    }

    /// Returns whether the connection has to be closed.
    pub fn is_refused(&self) -> bool {
        self.signal.is_set.get()
    }

    /// Waits until the connection has to be closed.
    pub async fn refused(&self) {
        self.signal.wait().await;
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        let open = self.budget.open(self.client);
        open.connections.borrow_mut().close(self.id);
        open.signals.borrow_mut().remove(&self.id);
        open.closed.notify(usize::MAX);
    }
}

/// Counts a refused connection as one whose rest is discarded until dropped.
pub struct Draining(Rc<Budget>);

impl Drop for Draining {
    fn drop(&mut self) {
        self.0.draining.set(self.0.draining.get() - 1);
    }
}

/// A transfer has to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed;

/// A part of the budget, which is released when dropped.
pub struct Held {
    budget: Rc<Budget>,
    id: Id,
    signal: Rc<Signal>,
    /// Set once it waits for memory.
    has_waited: Rc<Cell<bool>>,
}

impl Held {
    /// Begins a transfer that holds nothing yet; sets `has_waited` once it waits for memory.
    pub fn new(budget: &Rc<Budget>, kind: Kind, has_waited: Rc<Cell<bool>>) -> Self {
        let id = budget.memory.borrow_mut().open(clock::now(), kind);
        let signal = Rc::new(Signal::default());
        budget.signals.borrow_mut().insert(id, signal.clone());
        Self {
            budget: budget.clone(),
            id,
            signal,
            has_waited,
        }
    }

    /// Records that bytes have passed.
    pub fn advance(&self, bytes: usize) {
        let mut memory = self.budget.memory.borrow_mut();
        memory.advance(clock::now(), self.id, bytes as u64);
    }

    /// Takes more memory, after others have given way if that is needed.
    ///
    /// # Errors
    ///
    /// Returns [`Shed`] if this one has to give way.
    pub async fn grow(&self, bytes: usize) -> Result<(), Shed> {
        // Kept while it waits, so that those that wait are woken in order.
        let mut listener = None;
        loop {
            let now = clock::now();
            let answer = {
                let mut memory = self.budget.memory.borrow_mut();
                // Looked at first: those that are chosen have to be told.
                if memory.free() < bytes as u64 && memory.waited(now, self.id) >= ROOM_TIMEOUT {
                    return Err(Shed);
                }
                memory.grow(now, self.id, bytes as u64)
            };
            match answer {
                Answer::Granted => return Ok(()),
                Answer::Refused => return Err(Shed),
                Answer::After(others) => self.budget.tell(&others),
                Answer::Later => {}
            }
            self.has_waited.set(true);
            let released = listener.get_or_insert_with(|| self.budget.released.listen());
            let released = async {
                released.await;
                true
            };
            let told = async {
                self.signal.wait().await;
                false
            };
            if timer::within(ASK_INTERVAL, released.or(told)).await == Some(true) {
                listener = None;
            }
        }
    }

    /// Goes on as a transfer of another kind.
    pub fn set_kind(&self, kind: Kind) {
        let mut memory = self.budget.memory.borrow_mut();
        memory.change(clock::now(), self.id, kind);
    }

    /// Waits until it has to give way.
    pub async fn shed(&self) {
        self.signal.wait().await;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let free = {
            let mut memory = self.budget.memory.borrow_mut();
            memory.close(self.id);
            memory.free()
        };
        self.budget.signals.borrow_mut().remove(&self.id);
        // Those that were woken and have not asked yet are counted among these.
        self.budget.released.notify(free as usize / BLOCK_BYTES);
    }
}
