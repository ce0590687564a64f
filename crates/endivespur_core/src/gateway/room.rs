//! The room of brittle endpoints, which fall over if they must reject too many requests.
//!
//! The endpoints of a service are brittle together. Until they no longer say so, one gateway gives out the
//! room of each of them: a share of it for each request, until the request has ended.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Time;
use crate::id::{Endpoint, Service};

/// The number of a request that holds room.
pub type Hold = u64;

/// The time in which an endpoint counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// The delay after which room may be free again.
const FULL_DELAY: Duration = Duration::from_millis(50);
/// How long after a request was sent its rejection arrives at the latest.
const REJECTION_TIME: Duration = Duration::from_millis(100);
/// The part of the room in use that is given out after a rejection: the endpoint has less than it says.
const REJECTED_SHARE: f64 = 0.9;
/// The part of all room by which that rises again in a second.
const RECOVERY_RATE: f64 = 0.02;

/// A request for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The share of the endpoint's room that the request takes.
    pub share: f64,
    /// The rejections in a second that the endpoint survives.
    pub max_rejections: u32,
    /// When the request has ended at the latest.
    pub until: Time,
}

/// A request that holds room.
#[derive(Clone, Copy, Debug)]
struct Usage {
    share: f64,
    since: Time,
    /// By when the request has ended.
    until: Time,
    /// The room that was in use with this request.
    level: f64,
}

/// The room of one endpoint, in shares of all that it says it has.
#[derive(Clone, Debug)]
struct Room {
    /// The part of all room that may be in use, as of a time.
    capacity: (f64, Time),
    holds: BTreeMap<Hold, Usage>,
    /// The room that was in use without a rejection.
    proven: f64,
    rejections: VecDeque<Time>,
    closed_until: Time,
    max_rejections: u32,
    next_hold: Hold,
}

impl Room {
    fn new(now: Time) -> Self {
        Self {
            capacity: (1.0, now),
            holds: BTreeMap::new(),
            proven: 0.0,
            rejections: VecDeque::new(),
            closed_until: now,
            max_rejections: 0,
            // A gateway that has started again must not release what it gave out before.
            next_hold: now.as_nanos() as Hold,
        }
    }

    fn hold(&mut self, now: Time, request: &Request) -> Result<Hold, Duration> {
        self.max_rejections = request.max_rejections;
        if now < self.closed_until {
            return Err(self.closed_until.saturating_sub(now));
        }
        self.holds.retain(|_, usage| now < usage.until);
        self.confirm(now);
        let level = self.used() + request.share;
        // A request that takes more than all room is sent alone.
        let is_full = !self.holds.is_empty() && level > self.capacity(now);
        if is_full || (level > self.proven && self.unproven() >= self.rejection_limit()) {
            return Err(FULL_DELAY);
        }
        let hold = self.next_hold;
        self.next_hold += 1;
        let usage = Usage {
            share: request.share,
            since: now,
            until: request.until,
            level,
        };
        self.holds.insert(hold, usage);
        Ok(hold)
    }

    fn used(&self) -> f64 {
        self.holds.values().map(|usage| usage.share).sum()
    }

    /// Counts the requests that may still be rejected, as no more room was in use before.
    fn unproven(&self) -> usize {
        let levels = self.holds.values().map(|usage| usage.level);
        levels.filter(|level| *level > self.proven).count()
    }

    /// Takes the room of requests that were not rejected as proven.
    fn confirm(&mut self, now: Time) {
        let confirmed = self
            .holds
            .values()
            .filter(|usage| now.saturating_sub(usage.since) >= REJECTION_TIME)
            .map(|usage| usage.level);
        self.proven = confirmed.fold(self.proven, f64::max);
    }

    /// Returns the number of rejections at which no more room is given out: others may be on their way.
    fn rejection_limit(&self) -> usize {
        (self.max_rejections as usize / 2).max(1)
    }

    fn capacity(&self, now: Time) -> f64 {
        let (capacity, at) = self.capacity;
        let elapsed = now.saturating_sub(at).as_secs_f64();
        (capacity + elapsed * RECOVERY_RATE).min(1.0)
    }

    fn release(&mut self, now: Time, hold: Hold, is_rejected: bool) {
        let Some(usage) = self.holds.remove(&hold) else {
            return;
        };
        if !is_rejected {
            self.proven = self.proven.max(usage.level);
            return;
        }
        let capacity = self.capacity(now).min(self.used() * REJECTED_SHARE);
        self.capacity = (capacity, now);
        self.proven = self.proven.min(capacity);
        self.rejections.push_back(now);
        while let Some(first) = self.rejections.front()
            && now.saturating_sub(*first) >= REJECTION_WINDOW
        {
            self.rejections.pop_front();
        }
        if self.rejections.len() >= self.rejection_limit() {
            self.closed_until = now + REJECTION_WINDOW;
        }
    }
}

/// What the endpoints of a brittle service say.
#[derive(Clone, Copy, Debug)]
struct Brittleness {
    max_rejections: u32,
    named_at: Time,
}

/// The services whose endpoints are brittle, and the room that this gateway gives out.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    services: BTreeMap<Service, Brittleness>,
    rooms: BTreeMap<Endpoint, Room>,
}

impl Tracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how many rejections a second an endpoint of a service says that it survives, in the response
    /// to a request that was sent at `sent`; returns whether this has changed.
    ///
    /// Responses may overtake each other: one of a sound endpoint counts only if its request was sent after
    /// an endpoint was last brittle.
    pub fn record_response(
        &mut self,
        now: Time,
        service: &str,
        sent: Time,
        max_rejections: Option<u32>,
    ) -> bool {
        let current = self.services.get(service).copied();
        let Some(max_rejections) = max_rejections else {
            let has_ended = current.is_some_and(|current| current.named_at < sent);
            if has_ended {
                self.services.remove(service);
            }
            return has_ended;
        };
        let brittleness = Brittleness {
            max_rejections,
            named_at: now,
        };
        self.services.insert(service.to_string(), brittleness);
        current.is_none_or(|current| current.max_rejections != max_rejections)
    }

    /// Returns the rejections a second that the endpoints of a service survive, if they are brittle.
    pub fn max_rejections(&self, service: &str) -> Option<u32> {
        let brittleness = self.services.get(service);
        brittleness.map(|brittleness| brittleness.max_rejections)
    }

    /// Gives out room of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be room.
    pub fn hold(&mut self, now: Time, endpoint: &str, request: &Request) -> Result<Hold, Duration> {
        let room = self
            .rooms
            .entry(endpoint.to_string())
            .or_insert_with(|| Room::new(now));
        room.hold(now, request)
    }

    /// Takes back the room of a request that has ended, and records whether the endpoint rejected it.
    pub fn release(&mut self, now: Time, endpoint: &str, hold: Hold, is_rejected: bool) {
        if let Some(room) = self.rooms.get_mut(endpoint) {
            room.release(now, hold, is_rejected);
        }
    }

    /// Removes the endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.rooms.retain(|endpoint, _| keep(endpoint));
    }
}
