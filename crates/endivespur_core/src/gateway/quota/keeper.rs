//! The bucket from which a gateway lends the shards of a team's quota that it keeps.

use std::collections::VecDeque;
use std::time::Duration;

use super::{MAX_SHARDS, SETTLE_TIME, Terms, VALIDITY};
use crate::clock::{self, Time};

/// The part of what is left that a borrower gets beyond its need: others may need the rest.
const AHEAD_SHARE: f64 = 0.25;
/// The time for which loans are recorded together.
const RECORD_TIME: Duration = Duration::from_millis(20);
/// The part of the capacity that is lent instead of a larger need: the borrower gets the rest from other keepers.
const MAX_NEED_SHARE: f64 = 0.5;

/// By how much lending is postponed while the view is too old: more than the time between two checks.
const POSTPONEMENT: Duration = Duration::from_millis(200);

/// The answer to a borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loan {
    /// The amount may be used for this time from when the loan was requested.
    Amount(u64, Duration),
    /// There may be as much as is needed after this time.
    Wait(Duration),
    /// The gateway lends nothing of this quota.
    Unknown,
}

/// How lending begins of shards that a gateway keeps from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// At once, from a full bucket: nobody has lent anything before.
    Full,
    /// At once, from an empty bucket: the quota has changed.
    Empty,
    /// After [`SETTLE_TIME`], from an empty bucket: another gateway may lend the same shards.
    Settling,
    /// Not yet: the gateways that lend them may only be cut off.
    Never,
}

/// The shards of one team's quota that this gateway keeps.
#[derive(Clone, Debug)]
pub struct Keeper {
    /// From when on each shard is lent, for those that this gateway keeps.
    lends_from: [Option<Time>; MAX_SHARDS],
    /// The amount that may be lent.
    level: f64,
    updated_at: Time,
    /// The loans that may still be used, with the time at which they end.
    loans: VecDeque<(Time, f64)>,
}

impl Keeper {
    /// Creates the keeper of no shards.
    pub fn new(now: Time) -> Self {
        Self {
            lends_from: [None; MAX_SHARDS],
            level: 0.0,
            updated_at: now,
            loans: VecDeque::new(),
        }
    }

    /// Records which shards this gateway keeps, and how lending begins of those that it did not keep before.
    pub fn assign(&mut self, now: Time, terms: &Terms, keeps: &[bool], start: Start) {
        self.refresh(now, terms);
        let before = self.weight(now, terms);
        for (shard, lends_from) in self.lends_from.iter_mut().enumerate() {
            let is_kept = keeps.get(shard).copied().unwrap_or_default();
            match (is_kept, &lends_from) {
                (false, _) => *lends_from = None,
                (true, Some(from)) if start == Start::Never && now < *from => *lends_from = None,
                (true, Some(_)) => {}
                (true, None) if start == Start::Never => {}
                (true, None) if start == Start::Settling => *lends_from = Some(now + SETTLE_TIME),
                (true, None) => *lends_from = Some(now),
            }
        }
        let after = self.weight(now, terms);
        if after < before {
            self.level *= after / before;
        } else if start == Start::Full {
            self.level += (after - before) * terms.capacity;
        }
        self.limit(now, terms);
    }

    /// Lends the shards that this gateway has kept since `kept_from` from now on: no other gateway lends them.
    pub fn resume(&mut self, now: Time, terms: &Terms, kept_from: Time) {
        self.refresh(now, terms);
        for from in self.lends_from.iter_mut().flatten() {
            if *from <= kept_from + SETTLE_TIME {
                *from = (*from).min(now);
            }
        }
        self.limit(now, terms);
    }

    /// Returns whether this gateway keeps a shard that it does not lend yet.
    pub fn is_settling(&self, now: Time) -> bool {
        self.lends_from.iter().flatten().any(|from| now < *from)
    }

    /// Postpones the lending of shards that is about to begin while there is no recent news: others may have had their
    /// last news before these shards moved, and go on lending while the store is away. Called several times a second.
    pub fn postpone(&mut self, now: Time, view_age: Duration, max_view_age: Duration) {
        if view_age <= max_view_age {
            return;
        }
        for from in self.lends_from.iter_mut().flatten() {
            if *from > now {
                *from = (*from).max(now + POSTPONEMENT);
            }
        }
    }

    /// Returns whether this gateway keeps a shard.
    pub fn is_assigned(&self) -> bool {
        self.lends_from.iter().any(Option::is_some)
    }

    /// Lends at least `needed` and at most `wanted`, or a part of a need that is large for its shards.
    pub fn lend(&mut self, now: Time, terms: &Terms, needed: u64, wanted: u64) -> Loan {
        self.refresh(now, terms);
        let weight = self.weight(now, terms);
        if weight <= 0.0 {
            return Loan::Unknown;
        }
        let capacity = terms.capacity * weight;
        let least = (needed as f64).min((capacity * MAX_NEED_SHARE).max(1.0));
        if self.level < least {
            return Loan::Wait(self.wait(now, terms, least));
        }
        let needed = (needed as f64).min(self.level);
        let ahead = (wanted as f64 - needed).min((self.level - needed) * AHEAD_SHARE);
        let amount = (needed + ahead.max(0.0)).floor();
        self.level -= amount;
        let ends_at = now + VALIDITY;
        // The end of a record must not move, or it would never come while there are many loans.
        match self.loans.back_mut() {
            Some((end, sum)) if ends_at <= *end => *sum += amount,
            _ => self.loans.push_back((ends_at + RECORD_TIME, amount)),
        }
        Loan::Amount(amount as u64, VALIDITY)
    }

    /// Takes back an amount that was not used.
    pub fn give_back(&mut self, now: Time, terms: &Terms, amount: u64) {
        self.refresh(now, terms);
        if self.weight(now, terms) <= 0.0 {
            return;
        }
        let mut left = amount as f64;
        for (_, sum) in &mut self.loans {
            let part = left.min(*sum);
            *sum -= part;
            left -= part;
        }
        self.level += amount as f64;
        self.limit(now, terms);
    }

    /// Returns the share of the quota that is lent.
    pub fn weight(&self, now: Time, terms: &Terms) -> f64 {
        let lent = self.shards(terms).filter(|from| *from <= now).count();
        lent as f64 / terms.shards as f64
    }

    /// Iterates over the times from which the shards are lent.
    fn shards(&self, terms: &Terms) -> impl Iterator<Item = Time> {
        self.lends_from.iter().take(terms.shards).flatten().copied()
    }

    fn refresh(&mut self, now: Time, terms: &Terms) {
        while self.loans.front().is_some_and(|(end, _)| *end <= now) {
            self.loans.pop_front();
        }
        let times = self
            .shards(terms)
            .map(|from| now.saturating_sub(from.max(self.updated_at)).as_secs_f64());
        let elapsed: f64 = times.sum();
        self.level += elapsed * terms.rate / terms.shards as f64;
        self.updated_at = now;
        self.limit(now, terms);
    }

    /// Limits what is left, such that it does not exceed the capacity together with the loans that may still be used.
    fn limit(&mut self, now: Time, terms: &Terms) {
        let room = terms.capacity * self.weight(now, terms) - self.lent();
        self.level = self.level.min(room).max(0.0);
    }

    fn lent(&self) -> f64 {
        self.loans.iter().map(|(_, amount)| amount).sum()
    }

    /// Returns the time until an amount may be lent.
    fn wait(&self, now: Time, terms: &Terms, amount: f64) -> Duration {
        let weight = self.weight(now, terms);
        let fills = clock::from_secs((amount - self.level) / (terms.rate * weight));
        // The bucket fills only as far as the loans leave room.
        let mut room = terms.capacity * weight - self.lent();
        let mut ends = now;
        for (end, lent) in &self.loans {
            if room >= amount {
                break;
            }
            room += lent;
            ends = *end;
        }
        fills.max(ends.saturating_sub(now))
    }
}
