//! The memory and the connections that a gateway holds for others, and who gives way when they are used up.
//!
//! Senders that stall or are slow give way before those that send, then the largest, then the newest. Those that send
//! give way only after one has waited for [`WAIT_TIME`]: until then it is not known which have stalled, and some end. A complete
//! request and an answer that is received are never given up: an endpoint may have run, or run, the request. An answer
//! gives way only while its reader is slow, also to new connections.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Identifies a transfer or a connection until it ends.
pub type Id = u64;

/// The time over which the progress of a transfer is measured.
pub const PROGRESS_TIME: Duration = Duration::from_secs(1);
/// The bytes in [`PROGRESS_TIME`] below which a transfer counts as slow when memory is needed: a caller on a mobile
/// link sends a few times as many.
pub const PROGRESS_BYTES: u64 = 16 * 1024;
/// The time without a byte after which a transfer counts as slow: longer than a lost packet delays one that sends.
const STALL_TIME: Duration = Duration::from_millis(500);

/// How long a transfer waits before those that send give way: longer than it takes to tell one that has stalled.
pub const WAIT_TIME: Duration = Duration::from_millis(750);

/// How long a ranking of the transfers is used. Ranking 800 of them for each one that asked took 20 ms for each round.
pub const RANK_TIME: Duration = Duration::from_millis(50);

/// The budget if the memory of the VM is not known.
const DEFAULT_MEMORY: u64 = 64 << 20;
/// The memory that the process needs for itself.
const OWN_MEMORY: u64 = 16_000_000;
/// One byte in so many of the rest may be held for others: growing buffers leave holes in the allocator's memory, so that
/// resident memory grows by up to twice what is held.
const MEMORY_SHARE: u64 = 3;
/// One byte in so many may be held where little or nothing is left for others.
const MIN_MEMORY_SHARE: u64 = 8;
/// The descriptors of the smallest VMs, which are assumed if they are not known.
const DEFAULT_DESCRIPTORS: u64 = 3075;
/// One descriptor in so many may belong to a caller's connection: each request may need another one to an endpoint.
const CALLER_SHARE: u64 = 3;
/// One descriptor in so many may belong to the connection of a gateway whose request is forwarded.
const FORWARD_SHARE: u64 = 8;
/// The memory that a connection is assumed to hold: a head and a small body of 16 KB each.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// The limits of what is held for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The bytes of bodies and answers.
    pub memory: u64,
    /// The open connections of callers.
    pub callers: usize,
    /// The open connections of gateways whose requests are forwarded.
    pub forwards: usize,
}

impl Limits {
    /// Derives the limits from the memory and the descriptors of the VM, if they are known.
    pub fn new(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory = memory.map_or(DEFAULT_MEMORY, |memory| {
            let rest = memory.saturating_sub(OWN_MEMORY);
            (rest / MEMORY_SHARE).max(memory / MIN_MEMORY_SHARE)
        });
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let by_memory = memory / CONNECTION_BYTES;
        let connections = |share: u64| (descriptors / share).min(by_memory).max(1) as usize;
        Self {
            memory,
            callers: connections(CALLER_SHARE),
            forwards: connections(FORWARD_SHARE),
        }
    }
}

/// What a transfer holds memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A body that arrives.
    Receiving,
    /// A complete request, or an answer that arrives from an endpoint.
    Kept,
    /// An answer that is written to its reader.
    Sending,
}

/// The bytes that passed in a window of time.
#[derive(Clone, Copy, Debug)]
struct Progress {
    since: Time,
    bytes: u64,
    /// When the last bytes passed.
    last: Time,
    /// The beginning of the slow windows right before, if the last one was slow.
    slow_since: Option<Time>,
}

impl Progress {
    fn new(now: Time) -> Self {
        Self {
            since: now,
            bytes: 0,
            last: now,
            slow_since: None,
        }
    }

    fn advance(&mut self, now: Time, bytes: u64) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed >= PROGRESS_TIME {
            let slow_since = self.slow_since.unwrap_or(self.since);
            self.slow_since = self.is_below(elapsed).then_some(slow_since);
            self.since = now;
            self.bytes = 0;
        }
        self.bytes += bytes;
        self.last = now;
    }

    fn is_below(&self, elapsed: Duration) -> bool {
        (self.bytes as f64) < PROGRESS_BYTES as f64 * elapsed.as_secs_f64()
    }

    fn is_slow(&self, now: Time) -> bool {
        let elapsed = now.saturating_sub(self.since);
        let is_below = if elapsed >= STALL_TIME {
            self.is_below(elapsed)
        } else {
            self.slow_since.is_some()
        };
        is_below || now.saturating_sub(self.last) >= STALL_TIME
    }

    /// Returns since when it has made no progress, if it is slow.
    fn stalled_since(&self, now: Time) -> Option<Time> {
        let since = self.slow_since.unwrap_or(self.since);
        self.is_slow(now).then(|| since.min(self.last))
    }
}

/// The memory that one body or answer holds.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    kind: Kind,
    bytes: u64,
    progress: Progress,
    /// Whether it has been told to give way, and has not ended yet.
    is_shed: bool,
    /// Since when it waits for memory; nothing is read from its sender meanwhile.
    waits_since: Option<Time>,
    /// How long it has waited before.
    waited: Duration,
}

impl Transfer {
    fn is_slow(&self, now: Time) -> bool {
        self.waits_since.is_none() && self.progress.is_slow(now)
    }

    fn may_give_way(&self, now: Time) -> bool {
        match self.kind {
            Kind::Receiving => true,
            Kind::Kept => false,
            Kind::Sending => self.is_slow(now),
        }
    }
}

/// The answer to a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The memory may be taken.
    Granted,
    /// The memory may be taken once these transfers, and those that were told before, have given way.
    After(Vec<Id>),
    /// The transfer has to ask again a little later.
    Later,
    /// The transfer that asks has to give way.
    Refused,
}

/// The place of a transfer among those that may give way: whether it sends, its size, and its id. The least comes first.
type Rank = (bool, Reverse<u64>, Reverse<Id>);

/// The memory that is held for others.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: u64,
    held: u64,
    /// The bytes of the transfers that have been told to give way.
    shed: u64,
    transfers: BTreeMap<Id, Transfer>,
    /// Those that may give way, the first one last, as of a time.
    ranking: Vec<Rank>,
    ranked_at: Option<Time>,
    /// The entries that were ranked or examined.
    work: u64,
    next: Id,
}

impl Budget {
    /// Creates a budget of which nothing is held.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            held: 0,
            shed: 0,
            transfers: BTreeMap::new(),
            ranking: Vec::new(),
            ranked_at: None,
            work: 0,
            next: 0,
        }
    }

    /// Changes the limit; what is held beyond it is not given up, but no more is granted.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Returns the limit.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the bytes that may be taken at once.
    pub fn free(&self) -> u64 {
        self.limit.saturating_sub(self.held)
    }

    /// Returns the number of entries that were ranked or examined to choose those that give way.
    pub fn work(&self) -> u64 {
        self.work
    }

    /// Begins a transfer that holds nothing yet.
    pub fn open(&mut self, now: Time, kind: Kind) -> Id {
        self.next += 1;
        let transfer = Transfer {
            kind,
            bytes: 0,
            progress: Progress::new(now),
            is_shed: false,
            waits_since: None,
            waited: Duration::ZERO,
        };
        self.transfers.insert(self.next, transfer);
        self.next
    }

    /// Records that bytes of a transfer have passed.
    pub fn advance(&mut self, now: Time, id: Id, bytes: u64) {
        if bytes > 0
            && let Some(transfer) = self.transfers.get_mut(&id)
        {
            transfer.progress.advance(now, bytes);
        }
    }

    /// Records that a transfer goes on as one of another kind.
    pub fn change(&mut self, now: Time, id: Id, kind: Kind) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.kind = kind;
            transfer.progress = Progress::new(now);
        }
    }

    /// Asks for more memory for a transfer. Those that have to give way are told once.
    pub fn grow(&mut self, now: Time, id: Id, bytes: u64) -> Answer {
        let transfer = self.transfers.get_mut(&id);
        let Some(transfer) = transfer.filter(|one| !one.is_shed) else {
            return Answer::Refused;
        };
        if self.held + bytes <= self.limit {
            self.held += bytes;
            transfer.bytes += bytes;
            if let Some(since) = transfer.waits_since.take() {
                transfer.waited += now.saturating_sub(since);
                transfer.progress = Progress::new(now);
            }
            return Answer::Granted;
        }
        let is_slow = transfer.is_slow(now);
        let since = transfer.waits_since.unwrap_or(now);
        // A transfer waits once, and not for each block again.
        let may_displace = is_slow || self.waited(now, id) >= WAIT_TIME;
        let answer = self.make_room(now, id, bytes, may_displace);
        if answer != Answer::Refused
            && let Some(transfer) = self.transfers.get_mut(&id)
        {
            transfer.waits_since = Some(since);
        }
        answer
    }

    /// Returns how long a transfer has waited for memory, in all.
    pub fn waited(&self, now: Time, id: Id) -> Duration {
        self.transfers.get(&id).map_or(Duration::ZERO, |one| {
            let current = one.waits_since.map(|since| now.saturating_sub(since));
            one.waited + current.unwrap_or_default()
        })
    }

    /// Chooses those that give way for a transfer; those that send only if it `may_displace` them.
    fn make_room(&mut self, now: Time, id: Id, bytes: u64, may_displace: bool) -> Answer {
        let needed = (self.held + bytes).saturating_sub(self.limit);
        let mut room = self.shed;
        if room >= needed {
            return Answer::After(Vec::new());
        }
        self.rank(now);
        // The one that asks counts with what it asks for: otherwise the bodies of a crowd displace each other.
        let own = self.transfers.get(&id).and_then(|one| {
            let is_slow = one.is_slow(now);
            let rank = (!is_slow, Reverse(one.bytes + bytes), Reverse(id));
            one.may_give_way(now).then_some(rank)
        });
        let mut chosen = Vec::new();
        let mut is_refused = false;
        let mut place = self.ranking.len();
        while room < needed && place > 0 {
            place -= 1;
            let rank = self.ranking[place];
            let (is_sending, _, Reverse(candidate)) = rank;
            self.work += 1;
            // What has changed since the ranking: it ended, was told, completed, or sends again.
            let one = self.transfers.get(&candidate).filter(|one| {
                !one.is_shed && one.may_give_way(now) && (is_sending || one.is_slow(now))
            });
            let Some(one) = one else {
                self.ranking.remove(place);
                continue;
            };
            if candidate == id {
                continue;
            }
            if is_sending && !may_displace {
                break;
            }
            if own.is_some_and(|own| own < rank) {
                is_refused = may_displace;
                break;
            }
            room += one.bytes;
            chosen.push(candidate);
        }
        if is_refused || (room < needed && may_displace) {
            return Answer::Refused;
        }
        for candidate in &chosen {
            if let Some(one) = self.transfers.get_mut(candidate) {
                one.is_shed = true;
                self.shed += one.bytes;
            }
        }
        if room < needed && chosen.is_empty() {
            return Answer::Later;
        }
        Answer::After(chosen)
    }

    /// Ranks those that may give way, unless that was done within [`RANK_TIME`]. Those that hold nothing make no room.
    fn rank(&mut self, now: Time) {
        let is_recent = |at: Time| now.saturating_sub(at) < RANK_TIME;
        if self.ranked_at.is_some_and(is_recent) {
            return;
        }
        let transfers = self.transfers.iter();
        self.ranking = transfers
            .filter(|(_, one)| !one.is_shed && one.bytes > 0 && one.may_give_way(now))
            .map(|(id, one)| (!one.is_slow(now), Reverse(one.bytes), Reverse(*id)))
            .collect();
        self.ranking.sort_unstable_by(|a, b| b.cmp(a));
        self.ranked_at = Some(now);
        self.work += self.transfers.len() as u64;
    }

    /// Ends a transfer, and releases what it holds.
    pub fn close(&mut self, id: Id) {
        let Some(transfer) = self.transfers.remove(&id) else {
            return;
        };
        self.held -= transfer.bytes;
        if transfer.is_shed {
            self.shed -= transfer.bytes;
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug)]
enum Activity {
    /// It carries no complete request since a time at which it was opened, answered a request or received bytes of one.
    Waiting(Time),
    /// It carries a complete request.
    Busy,
    /// It carries an answer that its reader has not kept up with.
    Writing {
        progress: Progress,
        /// Whether the socket takes no more at present.
        is_blocked: bool,
    },
}

impl Activity {
    /// Returns since when nothing has happened, if the connection may be closed.
    fn idle_since(&self, now: Time) -> Option<Time> {
        match self {
            Self::Waiting(since) => Some(*since),
            Self::Writing {
                progress,
                is_blocked: true,
            } => progress.stalled_since(now),
            Self::Busy | Self::Writing { .. } => None,
        }
    }
}

/// The open connections of one kind of clients.
#[derive(Clone, Debug)]
pub struct Connections {
    limit: usize,
    open: BTreeMap<Id, Activity>,
    next: Id,
}

impl Connections {
    /// Creates an empty set.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: BTreeMap::new(),
            next: 0,
        }
    }

    /// Changes the limit; connections beyond it are closed as others are opened.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds a connection that carries no request yet; returns it with those that have to be closed, beginning with
    /// that on which nothing has happened for the longest time: it is idle, its request has stalled, or the reader of its
    /// answer is slow. The new one is among them if all others carry complete requests and no reader is slow.
    pub fn open(&mut self, now: Time) -> (Id, Vec<Id>) {
        self.next += 1;
        let id = self.next;
        self.open.insert(id, Activity::Waiting(now));
        let excess = self.open.len().saturating_sub(self.limit);
        if excess == 0 {
            return (id, Vec::new());
        }
        let open = self.open.iter();
        let idle = open.filter_map(|(id, activity)| Some((activity.idle_since(now)?, *id)));
        let closed: Vec<Id> = if excess == 1 {
            idle.min().map(|(_, id)| id).into_iter().collect()
        } else {
            let mut idle: Vec<_> = idle.collect();
            idle.sort_unstable();
            idle.into_iter().take(excess).map(|(_, id)| id).collect()
        };
        for id in &closed {
            self.open.remove(id);
        }
        (id, closed)
    }

    /// Records that bytes of a request have arrived; returns false if the connection has to be closed.
    pub fn advance(&mut self, now: Time, id: Id) -> bool {
        self.set_busy(now, id, false)
    }

    /// Records whether a connection carries a complete request; returns false if it has to be closed.
    pub fn set_busy(&mut self, now: Time, id: Id, is_busy: bool) -> bool {
        let Some(activity) = self.open.get_mut(&id) else {
            return false;
        };
        *activity = if is_busy {
            Activity::Busy
        } else {
            Activity::Waiting(now)
        };
        true
    }

    /// Records that the socket does not take all of an answer at once: from now on its reader has to make progress.
    pub fn begin_write(&mut self, now: Time, id: Id) {
        match self.open.get_mut(&id) {
            Some(Activity::Writing { is_blocked, .. }) => *is_blocked = true,
            Some(activity @ Activity::Busy) => {
                *activity = Activity::Writing {
                    progress: Progress::new(now),
                    is_blocked: true,
                };
            }
            Some(Activity::Waiting(_)) | None => {}
        }
    }

    /// Records that the socket has taken bytes of an answer, and whether it has taken all that was written.
    pub fn advance_write(&mut self, now: Time, id: Id, bytes: u64, is_end: bool) {
        let activity = self.open.get_mut(&id);
        if let Some(Activity::Writing {
            progress,
            is_blocked,
        }) = activity
        {
            progress.advance(now, bytes);
            *is_blocked = !is_end;
        }
    }

    /// Records that the socket has taken all that has arrived of an answer: its reader is as fast as the endpoint, however
    /// few bytes these were.
    pub fn catch_up(&mut self, id: Id) {
        if let Some(activity @ Activity::Writing { .. }) = self.open.get_mut(&id) {
            *activity = Activity::Busy;
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: Id) {
        self.open.remove(&id);
    }

    /// Returns whether more than half of the connections that are permitted are open.
    pub fn is_crowded(&self) -> bool {
        self.open.len() > self.limit / 2
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }
}
