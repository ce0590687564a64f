//! What a gateway has borrowed of a team's quota, and its decisions about requests of the team.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::keeper::Loan;
use super::{AHEAD, Terms};
use crate::clock::{self, Time};
use crate::id::Vm;

/// The time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// The delay before a keeper that did not reply, or lends nothing, is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The delay until a gateway that knows no keepers yet may know one, and the least delay of a request that waits.
const UNKNOWN_DELAY: Duration = Duration::from_millis(20);
/// The least delay before a keeper that had too little is asked again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The number of keepers with too little after which a gateway asks further ones only as [`EXTRA_ASKS`] permits, so that
/// a team over its quota does not cause a message to each keeper for each of its requests.
const MAX_REFUSALS: usize = 4;
/// How many further keepers are asked at once, and in a second on average. Below the limit, four keepers can have too little while
/// the others have plenty: one large prompt empties two or three shards of a small team.
const EXTRA_ASKS: (f64, f64) = (24.0, 1.0);
/// The number of keepers among which a large amount is divided at least. A keeper has to hold only its part, and the
/// parts are borrowed at the same time.
const MAX_PARTS: u64 = 4;
/// The share of a shard's capacity up to which an amount is not divided; a keeper lends no less if it has as much.
const UNDIVIDED_SHARE: f64 = 0.5;
/// How long keepers are asked for one request: three that do not reply within 80 ms each, and a fourth. A request to a
/// keeper that was sent longer ago is no longer waited for.
const MAX_ASK_TIME: Duration = Duration::from_millis(300);
/// How long before their end loans are given back; more than the time between two checks.
const GIVE_BACK_TIME: Duration = Duration::from_millis(60);
/// The gateways that are assumed to share the allowance without keepers at least: after a start, records may be missing.
const MIN_GATEWAYS: usize = 6;

/// An amount that was borrowed from one keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The gateway that lent it; `None` for the allowance without keepers.
    pub lender: Option<Vm>,
    /// The amount.
    pub amount: u64,
    /// Until when it may be used.
    pub valid_until: Time,
}

/// The progress of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inquiry {
    amount: u64,
    /// Until when the request may wait for an amount.
    wait_until: Time,
    /// Until when keepers are asked for it: those that do not reply cost time.
    ask_until: Time,
}

impl Inquiry {
    /// Begins the decision about a request that counts as `amount` and may wait for `wait`.
    pub fn new(now: Time, amount: u64, wait: Duration) -> Self {
        Self {
            amount,
            wait_until: now + wait,
            ask_until: now + MAX_ASK_TIME,
        }
    }

    /// Asks keepers until the request may wait no longer, as after a start: none of them may lend yet.
    pub fn with_ask_until_deadline(mut self) -> Self {
        self.ask_until = self.ask_until.max(self.wait_until);
        self
    }

    /// Returns the place among the requests that wait: earlier ones come first.
    fn place(&self) -> Place {
        (self.ask_until, self.amount, self.wait_until)
    }
}

/// The place of a request among those that wait, with its amount. Equal ones are exchangeable.
type Place = (Time, u64, Time);

/// The next step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is admitted, and charged these parts.
    Admit(Vec<Part>),
    /// An amount is to be borrowed, and the request to be decided again: other keepers may be asked at the same time.
    Borrow {
        /// The keeper to be asked.
        lender: Vm,
        /// What is missing for the requests that wait, or a part of it.
        needed: u64,
        /// What is expected to be used within a short time.
        wanted: u64,
    },
    /// It is to be decided again after this time, or when a keeper has replied or another request been refused.
    Wait(Duration),
    /// It is refused; there may be enough after this time.
    Refuse(Duration),
}

/// A request for a loan without a reply yet.
#[derive(Clone, Copy, Debug)]
struct Asked {
    sent: Time,
    /// The request for which it was sent.
    place: Place,
    needed: u64,
    wanted: u64,
}

/// What a gateway has borrowed of one team's quota.
#[derive(Clone, Debug)]
pub struct Wallet {
    parts: Vec<Part>,
    /// The sum of the amounts of recent requests, which decays.
    demand: (f64, Time),
    /// What the gateway may use without keepers.
    fallback: (f64, Time),
    /// Until when each keeper is not asked, and from which amount on if it has too little; `None` if it did not reply, or
    /// lends nothing.
    blocked: BTreeMap<Vm, (Time, Option<u64>)>,
    /// The keepers that have not replied yet.
    asked: BTreeMap<Vm, Asked>,
    /// The requests that wait, with what was borrowed for each. Others do not use that, or small requests would use up what
    /// a large one collects from several keepers.
    waiting: BTreeMap<Place, u64>,
    /// How many keepers may be asked after [`MAX_REFUSALS`] had too little.
    extra_asks: (f64, Time),
    /// The shard whose keeper is asked next.
    next: usize,
    /// Until when requests of at least an amount are refused.
    refused: Option<(Time, u64)>,
    most_gateways: usize,
    /// What was admitted in the current window and in the one before it, and when the current one began.
    used: (u64, u64, Time),
}

impl Wallet {
    /// Creates an empty wallet. `seed` selects the shard whose keeper is asked first.
    pub fn new(now: Time, seed: u64) -> Self {
        Self {
            parts: Vec::new(),
            demand: (0.0, now),
            fallback: (0.0, now),
            blocked: BTreeMap::new(),
            asked: BTreeMap::new(),
            waiting: BTreeMap::new(),
            extra_asks: (EXTRA_ASKS.0, now),
            next: seed as usize % super::MAX_SHARDS,
            refused: None,
            most_gateways: MIN_GATEWAYS,
            used: (0, 0, now),
        }
    }

    /// Decides about a request, given the keepers of the shards and the number of known gateways.
    pub fn step(
        &mut self,
        now: Time,
        terms: &Terms,
        keepers: &[Vm],
        gateways: usize,
        inquiry: &Inquiry,
    ) -> Step {
        let step = self.decide(now, terms, keepers, gateways, inquiry);
        match &step {
            Step::Admit(_) | Step::Refuse(_) => {
                self.waiting.remove(&inquiry.place());
            }
            Step::Borrow { .. } | Step::Wait(_) => {
                self.waiting.entry(inquiry.place()).or_default();
            }
        }
        step
    }

    fn decide(
        &mut self,
        now: Time,
        terms: &Terms,
        keepers: &[Vm],
        gateways: usize,
        inquiry: &Inquiry,
    ) -> Step {
        let amount = inquiry.amount;
        if let Some((until, refused)) = self.refused {
            if now >= until {
                self.refused = None;
            } else if refused <= amount && !self.waiting.contains_key(&inquiry.place()) {
                return Step::Refuse(until.saturating_sub(now));
            }
        }
        // The callers of some may have gone away.
        self.waiting
            .retain(|(asks, _, waits), _| now < *asks.max(waits));
        self.asked
            .retain(|_, asked| now < asked.sent + MAX_ASK_TIME);
        let place = inquiry.place();
        let held: u64 = self.valid(now).map(|part| part.amount).sum();
        let own = self.waiting.get(&place).copied().unwrap_or_default();
        let free = held.saturating_sub(self.waiting.values().sum());
        let missing = amount.saturating_sub(own + free);
        if missing == 0 && held >= amount {
            return Step::Admit(self.take(now, amount));
        }
        if amount as f64 > terms.capacity {
            return self.refuse(now, amount, clock::from_secs(amount as f64 / terms.rate));
        }
        if now < inquiry.ask_until {
            // What earlier requests leave of the amounts that may be lent to this gateway is waited for.
            let asked: u64 = self.asked.values().map(|asked| asked.wanted).sum();
            let earlier = self.waiting.range(..place);
            let earlier = earlier.map(|((_, amount, _), own)| amount.saturating_sub(*own));
            let left = (free + asked).saturating_sub(earlier.sum());
            let missing = missing.min((amount - own.min(amount)).saturating_sub(left));
            if let Some((lender, needed)) = self.choose(now, terms, keepers, missing) {
                let ahead = match asked {
                    // Where keepers have too little, others need the rest.
                    0 if !self.is_scarce() => self.wanted(now, terms),
                    _ => 0,
                };
                let wanted = needed.max(ahead);
                let asked = Asked {
                    sent: now,
                    place,
                    needed,
                    wanted,
                };
                self.asked.insert(lender.clone(), asked);
                return Step::Borrow {
                    lender,
                    needed,
                    wanted,
                };
            }
            let first = self.asked.values().map(|asked| asked.sent).min();
            if let Some(sent) = first {
                let end = inquiry.ask_until.min(sent + MAX_ASK_TIME);
                return Step::Wait(end.saturating_sub(now));
            }
        }
        let wait = self.wait(now, keepers);
        if now + wait <= inquiry.wait_until {
            return Step::Wait(wait);
        }
        if let Some(part) = self.take_fallback(now, terms, keepers, gateways, amount) {
            return Step::Admit(vec![part]);
        }
        let fills = clock::from_secs(missing as f64 / terms.rate);
        self.refuse(now, amount, wait.max(fills))
    }

    /// Records a request, by whose amount the demand is estimated.
    pub fn demanded(&mut self, now: Time, amount: u64) {
        let (sum, at) = self.demand;
        self.demand = (decay(sum, now.saturating_sub(at)) + amount as f64, now);
    }

    /// Records the reply of a keeper that was asked at `sent`; `None` if it did not reply.
    pub fn replied(
        &mut self,
        now: Time,
        inquiry: &Inquiry,
        lender: &str,
        sent: Time,
        loan: Option<Loan>,
    ) {
        self.next = self.next.wrapping_add(1);
        let asked = self.asked.remove(lender);
        let needed = asked.map_or(inquiry.amount, |asked| asked.needed);
        match loan {
            Some(Loan::Amount(amount, validity)) => {
                self.blocked.remove(lender);
                self.receive(lender, sent, amount, validity);
                let place = asked.map_or(inquiry.place(), |asked| asked.place);
                if let Some(own) = self.waiting.get_mut(&place) {
                    *own = (*own + amount).min(place.1);
                }
            }
            Some(Loan::Wait(wait)) => {
                let until = now + wait.max(MIN_RETRY_DELAY);
                let blocked = self.blocked.get(lender).and_then(|(_, least)| *least);
                let least = blocked.map_or(needed, |least| least.min(needed));
                self.blocked
                    .insert(lender.to_string(), (until, Some(least)));
            }
            Some(Loan::Unknown) | None => {
                let blocked = (now + RETRY_DELAY, None);
                self.blocked.insert(lender.to_string(), blocked);
            }
        }
    }

    /// Records the reply of a keeper that was taken for one that does not reply. An amount whose loan has ended meanwhile
    /// is given back with those that end soon.
    pub fn replied_late(&mut self, lender: &str, sent: Time, loan: Loan) {
        if let Loan::Amount(amount, validity) = loan {
            self.receive(lender, sent, amount, validity);
        }
    }

    fn receive(&mut self, lender: &str, sent: Time, amount: u64, validity: Duration) {
        self.parts.push(Part {
            lender: Some(lender.to_string()),
            amount,
            valid_until: sent + validity.min(super::VALIDITY),
        });
    }

    /// Takes back the parts of a request that did not run; returns those that are to be given back to their lenders.
    pub fn put_back(&mut self, now: Time, parts: Vec<Part>) -> Vec<Part> {
        let amount: u64 = parts.iter().map(|part| part.amount).sum();
        self.used.0 = self.used.0.saturating_sub(amount);
        let mut ended = Vec::new();
        for part in parts {
            match part.lender {
                None => self.fallback.0 += part.amount as f64,
                Some(_) if now < part.valid_until => self.parts.push(part),
                Some(_) => ended.push(part),
            }
        }
        ended
    }

    /// Removes the parts that end soon; returns them to be given back to their lenders.
    pub fn expire(&mut self, now: Time) -> Vec<Part> {
        let ends_soon = |part: &Part| part.valid_until <= now + GIVE_BACK_TIME;
        let parts = std::mem::take(&mut self.parts);
        let (ended, kept) = parts.into_iter().partition(ends_soon);
        self.parts = kept;
        ended
    }

    /// Returns what was used in the last window, and possibly somewhat earlier.
    pub fn used(&mut self, now: Time, terms: &Terms) -> u64 {
        self.turn_window(now, terms);
        self.used.0 + self.used.1
    }

    fn turn_window(&mut self, now: Time, terms: &Terms) {
        let (current, _, since) = self.used;
        let age = now.saturating_sub(since);
        if age >= terms.window * 2 {
            self.used = (0, 0, now);
        } else if age >= terms.window {
            self.used = (0, current, now);
        }
    }

    fn valid(&self, now: Time) -> impl Iterator<Item = &Part> {
        self.parts.iter().filter(move |part| now < part.valid_until)
    }

    /// Takes an amount, of which there must be enough, first of the parts that end first.
    fn take(&mut self, now: Time, amount: u64) -> Vec<Part> {
        self.parts.sort_by_key(|part| part.valid_until);
        let mut left = amount;
        let mut taken = Vec::new();
        for part in &mut self.parts {
            if part.valid_until <= now {
                continue;
            }
            let portion = left.min(part.amount);
            if portion == 0 {
                break;
            }
            part.amount -= portion;
            left -= portion;
            taken.push(Part {
                amount: portion,
                ..part.clone()
            });
        }
        self.parts.retain(|part| part.amount > 0);
        self.used.0 += amount;
        taken
    }

    fn take_fallback(
        &mut self,
        now: Time,
        terms: &Terms,
        keepers: &[Vm],
        gateways: usize,
        amount: u64,
    ) -> Option<Part> {
        // It starts empty and holds half of the share, so that a window holds the share, also across a restart.
        self.most_gateways = self.most_gateways.max(gateways);
        let capacity = terms.fallback / 2.0 / self.most_gateways as f64;
        let (level, at) = self.fallback;
        let elapsed = now.saturating_sub(at).as_secs_f64();
        let filled = elapsed * capacity / terms.window.as_secs_f64().max(0.001);
        self.fallback = ((level + filled).min(capacity), now);
        let lacks = |vm: &Vm| {
            self.blocked
                .get(vm)
                .is_some_and(|(_, least)| least.is_none())
        };
        let is_lacking = keepers.is_empty() || keepers.iter().any(lacks);
        if !is_lacking || self.fallback.0 < amount as f64 {
            return None;
        }
        self.fallback.0 -= amount as f64;
        self.used.0 += amount;
        Some(Part {
            lender: None,
            amount,
            valid_until: now,
        })
    }

    /// Returns the next keeper that may have something to lend of a missing amount, and how much it is to be asked for.
    fn choose(
        &mut self,
        now: Time,
        terms: &Terms,
        keepers: &[Vm],
        missing: u64,
    ) -> Option<(Vm, u64)> {
        self.blocked.retain(|_, (until, _)| now < *until);
        // Where keepers have too little, asking several at once would add messages, and loans that come too late to be used.
        if missing == 0 || self.is_scarce() && !self.asked.is_empty() {
            return None;
        }
        let may_lend = |vm: &&Vm| {
            let blocked = self.blocked.get(*vm);
            !self.asked.contains_key(*vm) && !blocked.is_some_and(|(_, least)| least.is_none())
        };
        let others: BTreeSet<&Vm> = keepers.iter().filter(may_lend).collect();
        let parts = (others.len() as u64).clamp(1, MAX_PARTS);
        let undivided = (terms.capacity / terms.shards as f64 * UNDIVIDED_SHARE) as u64;
        let needed = missing.min(undivided.max(missing.div_ceil(parts)).max(1));
        let blocked = self.blocked.values();
        let refusals = blocked.filter(|(_, least)| least.is_some_and(|least| least <= needed));
        let is_short = refusals.count() >= MAX_REFUSALS;
        // Keepers that have too little for that may have a part of it.
        let part = needed.div_ceil(MAX_PARTS);
        let sizes = [if is_short { part } else { needed }, part];
        let count = keepers.len();
        let places = (0..count).map(|offset| &keepers[self.next.wrapping_add(offset) % count]);
        let open: Vec<&Vm> = places.filter(may_lend).collect();
        let has_too_little = |vm: &Vm, size: u64| {
            let blocked = self.blocked.get(vm);
            blocked.is_some_and(|(_, least)| least.is_some_and(|least| least <= size))
        };
        let found = sizes.into_iter().find_map(|size| {
            let lender = open.iter().find(|vm| !has_too_little(vm, size))?;
            Some(((*lender).clone(), size))
        });
        if found.is_some() && is_short {
            let (level, at) = self.extra_asks;
            let filled = now.saturating_sub(at).as_secs_f64() * EXTRA_ASKS.1;
            let level = (level + filled).min(EXTRA_ASKS.0);
            if level < 1.0 {
                return None;
            }
            self.extra_asks = (level - 1.0, now);
        }
        found
    }

    /// Returns whether a keeper that was asked recently had too little.
    fn is_scarce(&self) -> bool {
        let mut blocked = self.blocked.values();
        blocked.any(|(_, least)| least.is_some())
    }

    /// Returns the amount that is expected to be used within a short time, at most that of the team's rate.
    fn wanted(&self, now: Time, terms: &Terms) -> u64 {
        let (sum, at) = self.demand;
        let rate = decay(sum, now.saturating_sub(at)) / DEMAND_TIME.as_secs_f64();
        (rate.min(terms.rate) * AHEAD.as_secs_f64()) as u64
    }

    /// Returns the time until a keeper may have something to lend.
    fn wait(&self, now: Time, keepers: &[Vm]) -> Duration {
        if keepers.is_empty() {
            return UNKNOWN_DELAY;
        }
        let times = keepers.iter().filter_map(|vm| self.blocked.get(vm));
        let times = times.map(|(until, _)| until.saturating_sub(now));
        // Some may have passed, and are not removed while no keeper is asked.
        times.min().unwrap_or(RETRY_DELAY).max(UNKNOWN_DELAY)
    }

    fn refuse(&mut self, now: Time, amount: u64, wait: Duration) -> Step {
        self.refused = Some((now + wait, amount));
        Step::Refuse(wait)
    }
}

fn decay(sum: f64, elapsed: Duration) -> f64 {
    sum * (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
}
