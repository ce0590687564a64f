//! What a gateway has borrowed of a team's quota, and its decisions about requests of the team.

use std::collections::BTreeMap;
use std::time::Duration;

use super::keeper::Loan;
use super::{AHEAD, Terms};
use crate::clock::{self, Time};
use crate::id::Vm;

/// The time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// The delay before a keeper that did not reply, or lends nothing, is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The delay until a gateway that knows no keepers yet may know one.
const UNKNOWN_DELAY: Duration = Duration::from_millis(20);
/// The least delay before a keeper that had too little is asked again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The number of keepers with too little that are asked for one request: the others have no more then.
const MAX_REFUSALS: usize = 4;
/// How long keepers are asked for one request: three that do not reply within 80 ms each, and a fourth.
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
    /// The keepers that had too little.
    refusals: usize,
    /// The longest time until one of them has as much as was needed.
    least_wait: Option<Duration>,
}

impl Inquiry {
    /// Begins the decision about a request that counts as `amount` and may wait for `wait`.
    pub fn new(now: Time, amount: u64, wait: Duration) -> Self {
        Self {
            amount,
            wait_until: now + wait,
            ask_until: now + MAX_ASK_TIME,
            refusals: 0,
            least_wait: None,
        }
    }

    /// Begins the decision again after a wait.
    pub fn again(&self) -> Self {
        Self {
            refusals: 0,
            least_wait: None,
            ..*self
        }
    }
}

/// The next step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is admitted, and charged these parts.
    Admit(Vec<Part>),
    /// An amount is to be borrowed.
    Borrow {
        /// The keeper to be asked.
        lender: Vm,
        /// What is missing for the request.
        needed: u64,
        /// What is expected to be used within a short time.
        wanted: u64,
    },
    /// It is to be decided again after this time.
    Wait(Duration),
    /// It is refused; there may be enough after this time.
    Refuse(Duration),
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
        let amount = inquiry.amount;
        if let Some((until, refused)) = self.refused
            && now < until
            && refused <= amount
        {
            return Step::Refuse(until.saturating_sub(now));
        }
        if inquiry.refusals == 0 {
            self.refused = None;
        }
        if let Some(parts) = self.take(now, amount) {
            return Step::Admit(parts);
        }
        let held: u64 = self.valid(now).map(|part| part.amount).sum();
        let missing = amount - held;
        if amount as f64 > terms.capacity {
            return self.refuse(now, amount, clock::from_secs(amount as f64 / terms.rate));
        }
        if inquiry.refusals < MAX_REFUSALS
            && now < inquiry.ask_until
            && let Some(lender) = self.choose(now, keepers, amount)
        {
            return Step::Borrow {
                lender,
                needed: missing,
                wanted: missing.max(self.wanted(now, terms)),
            };
        }
        let wait = self.wait(now, keepers, inquiry);
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
        inquiry: &mut Inquiry,
        lender: &str,
        sent: Time,
        loan: Option<Loan>,
    ) {
        self.next = self.next.wrapping_add(1);
        match loan {
            Some(Loan::Amount(amount, validity)) => {
                self.blocked.remove(lender);
                self.parts.push(Part {
                    lender: Some(lender.to_string()),
                    amount,
                    valid_until: sent + validity.min(super::VALIDITY),
                });
            }
            Some(Loan::Wait(wait)) => {
                let until = now + wait.max(MIN_RETRY_DELAY);
                let blocked = self.blocked.get(lender).and_then(|(_, least)| *least);
                let least = blocked.map_or(inquiry.amount, |least| least.min(inquiry.amount));
                self.blocked
                    .insert(lender.to_string(), (until, Some(least)));
                inquiry.refusals += 1;
                let least = inquiry.least_wait.map_or(wait, |least| least.min(wait));
                inquiry.least_wait = Some(least);
            }
            Some(Loan::Unknown) | None => {
                let blocked = (now + RETRY_DELAY, None);
                self.blocked.insert(lender.to_string(), blocked);
            }
        }
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

    /// Takes an amount, first of the parts that end first, if there is enough.
    fn take(&mut self, now: Time, amount: u64) -> Option<Vec<Part>> {
        let held: u64 = self.valid(now).map(|part| part.amount).sum();
        if held < amount {
            return None;
        }
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
        Some(taken)
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

    /// Returns the next keeper that may have something to lend for a request.
    fn choose(&mut self, now: Time, keepers: &[Vm], amount: u64) -> Option<Vm> {
        self.blocked.retain(|_, (until, _)| now < *until);
        let count = keepers.len();
        let offset = (0..count).find(|offset| {
            let vm = &keepers[self.next.wrapping_add(*offset) % count];
            let blocked = self.blocked.get(vm);
            !blocked.is_some_and(|(_, least)| least.is_none_or(|least| least <= amount))
        })?;
        Some(keepers[self.next.wrapping_add(offset) % count].clone())
    }

    /// Returns the amount that is expected to be used within a short time, at most that of the team's rate.
    fn wanted(&self, now: Time, terms: &Terms) -> u64 {
        let (sum, at) = self.demand;
        let rate = decay(sum, now.saturating_sub(at)) / DEMAND_TIME.as_secs_f64();
        (rate.min(terms.rate) * AHEAD.as_secs_f64()) as u64
    }

    /// Returns the time until a keeper may have something to lend.
    fn wait(&self, now: Time, keepers: &[Vm], inquiry: &Inquiry) -> Duration {
        if keepers.is_empty() {
            return UNKNOWN_DELAY;
        }
        let times = keepers.iter().filter_map(|vm| self.blocked.get(vm));
        let times = times.map(|(until, _)| until.saturating_sub(now));
        let wait = times.min().unwrap_or(RETRY_DELAY);
        inquiry.least_wait.map_or(wait, |least| wait.max(least))
    }

    fn refuse(&mut self, now: Time, amount: u64, wait: Duration) -> Step {
        self.refused = Some((now + wait, amount));
        Step::Refuse(wait)
    }
}

fn decay(sum: f64, elapsed: Duration) -> f64 {
    sum * (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
}
