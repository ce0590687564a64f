//! Keeps teams to their quotas, together with the other gateways.
//!
//! A request of a team with a quota is admitted before anything is placed for it. This gateway lends the shards of
//! quotas that it keeps, and borrows from the keepers of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::quota::keeper::Loan;
use endivespur_core::gateway::quota::wallet::{Inquiry, Part, Step};
use endivespur_core::gateway::team::Teams;
use endivespur_core::id::{Team, Vm};
use smol::Timer;

use crate::exchange::{Call, Outcome};
use crate::peer::{self, Borrowing};
use crate::state::State;
use crate::{telemetry, timer};

/// How long a request waits for an amount rather than being refused: a new keeper's bucket fills within that time.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// The same while no gateway is known: after its start, a gateway writes its own record within this time.
const MAX_START_WAIT: Duration = Duration::from_millis(700);
/// How long requests wait for a keeper's reply before they ask another one. Its loan may still arrive and be used.
const LOAN_WAIT: Duration = Duration::from_millis(80);
/// The time between two checks of the loans and of the view of the other gateways.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The unit in which responses state the time to retry, which is rounded up.
const RETRY_UNIT: Duration = Duration::from_millis(10);

/// What a request was charged. Dropped unspent, it is returned.
pub struct Charge {
    state: Rc<State>,
    team: Team,
    parts: Vec<Part>,
}

impl Charge {
    /// Records that the request has run, or may have.
    pub fn spend(mut self) {
        self.parts.clear();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let parts = std::mem::take(&mut self.parts);
        if parts.is_empty() {
            return;
        }
        telemetry::quota_decided("returned");
        let ended = {
            let mut tracker = self.state.quotas.tracker.borrow_mut();
            tracker.put_back(clock::now(), &self.team, parts)
        };
        give_back(&self.state, &self.team, ended);
        self.state.quotas.notify(&self.team);
    }
}

/// Starts the task that follows the configuration and the other gateways. Without quotas it does nothing.
pub fn start(state: &Rc<State>) {
    state.spawn(follow(state.clone()));
}

async fn follow(state: Rc<State>) {
    loop {
        let changed = state.changed.listen();
        synchronize(&state);
        if state.quotas.tracker.borrow().is_empty() {
            changed.await;
            continue;
        }
        check(&state);
        timer::within(CHECK_INTERVAL, changed).await;
        // Changes may come by the hundred; the checks need not.
        Timer::after(CHECK_INTERVAL / 5).await;
    }
}

/// Takes over the configuration in force, and the known gateways if there are quotas.
pub fn synchronize(state: &State) {
    let now = clock::now();
    let catalog = state.catalog.borrow();
    let Some(table) = catalog.table() else {
        return;
    };
    let mut teams = table.teams.iter().flat_map(Teams::iter);
    let version = {
        let mut tracker = state.quotas.tracker.borrow_mut();
        // The gateways first: buckets of a quota that is new are full at the gateways that keep them.
        if !tracker.is_empty() || teams.any(|(_, team)| team.quota.is_some()) {
            tracker.assign(now, catalog.quota_members());
        }
        tracker.version()
    };
    if version != Some(table.version) {
        let teams = table.teams.as_ref();
        state.quotas.configure(now, table.version, teams);
    }
}

/// Gives loans back that end soon, and probes other gateways if there has been no news of them.
fn check(state: &Rc<State>) {
    let now = clock::now();
    state.quotas.check_refusals(now);
    let (ended, probed) = {
        let mut tracker = state.quotas.tracker.borrow_mut();
        (
            tracker.expire(now),
            tracker.check(now, view_age(state, now)),
        )
    };
    for (team, parts) in ended {
        give_back(state, &team, parts);
    }
    for vm in probed {
        let state = state.clone();
        state.clone().spawn(async move { probe(&state, &vm).await });
    }
}

fn view_age(state: &State, now: Time) -> Duration {
    now.saturating_sub(state.updated_at.get())
}

/// Finds out whether another gateway replies.
async fn probe(state: &Rc<State>, vm: &Vm) {
    let sent = clock::now();
    let Some(address) = address(state, vm) else {
        return;
    };
    if ask(state, address, "", 0, 0).await.is_some() {
        let mut tracker = state.quotas.tracker.borrow_mut();
        tracker.probe_replied(vm, sent);
    }
}

/// Gives back what was not used to those that have lent it.
fn give_back(state: &Rc<State>, team: &str, parts: Vec<Part>) {
    let mut amounts: BTreeMap<Vm, u64> = BTreeMap::new();
    for part in parts {
        if let Some(lender) = part.lender {
            *amounts.entry(lender).or_default() += part.amount;
        }
    }
    for (lender, amount) in amounts {
        if lender == state.settings.vm {
            let mut tracker = state.quotas.tracker.borrow_mut();
            tracker.give_back(clock::now(), team, amount);
            continue;
        }
        if let Some(address) = address(state, &lender) {
            let (task_state, team) = (state.clone(), team.to_string());
            state.spawn(async move {
                peer::give_back(&task_state, address, &team, amount).await;
            });
        }
    }
}

/// Lends an amount of a team's quota to another gateway.
pub fn lend(state: &State, team: &str, needed: u64, wanted: u64) -> Loan {
    let now = clock::now();
    let mut tracker = state.quotas.tracker.borrow_mut();
    tracker.lend(now, view_age(state, now), team, needed, wanted)
}

fn address(state: &State, vm: &Vm) -> Option<SocketAddr> {
    let catalog = state.catalog.borrow();
    catalog.peer(vm).map(|peer| peer.address)
}

/// Asks another gateway for an amount; returns `None` without a reply.
async fn ask(
    state: &Rc<State>,
    address: SocketAddr,
    team: &str,
    needed: u64,
    wanted: u64,
) -> Option<Loan> {
    let (version, used) = {
        let mut tracker = state.quotas.tracker.borrow_mut();
        (
            tracker.version().unwrap_or_default(),
            tracker.used(clock::now(), team),
        )
    };
    let borrowing = Borrowing {
        team,
        version,
        needed,
        wanted,
        used,
    };
    peer::borrow(state, address, &borrowing).await
}

/// Admits a request if its team's quota permits it; returns what it was charged, `None` without a quota.
///
/// # Errors
///
/// Returns the refusal of a request over the quota.
pub async fn admit(state: &Rc<State>, call: &Call) -> Result<Option<Charge>, Outcome> {
    let Some(team) = &call.team else {
        return Ok(None);
    };
    let table = state.catalog.borrow().table();
    let teams = table.as_ref().and_then(|table| table.teams.as_ref());
    let Some(quota) = teams.and_then(|teams| teams.get(team)?.quota) else {
        return Ok(None);
    };
    let now = clock::now();
    let amount = quota.unit.amount(call.fields.token_usage);
    // The configuration may have arrived just now.
    let version = state.quotas.tracker.borrow().version();
    if version != table.as_ref().map(|table| table.version) {
        synchronize(state);
    }
    state
        .quotas
        .tracker
        .borrow_mut()
        .demanded(now, team, amount);
    let is_known = state.quotas.tracker.borrow().knows_gateways();
    let max_wait = if is_known { MAX_WAIT } else { MAX_START_WAIT };
    let inquiry = Inquiry::new(now, amount, max_wait.min(call.time_left()));
    let inquiry = if is_known {
        inquiry
    } else {
        inquiry.with_ask_until_deadline()
    };
    loop {
        match step(state, team, &inquiry) {
            None => return Ok(None),
            Some(Step::Admit(parts)) => return Ok(Some(charge(state, team, parts))),
            Some(Step::Refuse(wait)) => {
                // What was reserved for this request is free for others.
                state.quotas.notify(team);
                return Err(refuse(state, team, amount, wait));
            }
            Some(Step::Wait(wait)) => {
                let changed = state.quotas.listen(team);
                timer::within(wait, changed).await;
            }
            Some(Step::Borrow {
                lender,
                needed,
                wanted,
            }) => borrow(state, team, inquiry, lender, needed, wanted),
        }
    }
}

fn step(state: &State, team: &str, inquiry: &Inquiry) -> Option<Step> {
    let mut tracker = state.quotas.tracker.borrow_mut();
    tracker.step(clock::now(), team, inquiry)
}

/// Borrows an amount, from another gateway in a task of its own: the request need not wait for all that it asks, nor be
/// there still when they reply.
fn borrow(state: &Rc<State>, team: &str, inquiry: Inquiry, lender: Vm, needed: u64, wanted: u64) {
    let sent = clock::now();
    if lender == state.settings.vm {
        let loan = lend(state, team, needed, wanted);
        replied(state, team, inquiry, &lender, sent, Some(loan));
        return;
    }
    let (task_state, team) = (state.clone(), team.to_string());
    state.spawn(async move {
        let state = &task_state;
        let address = address(state, &lender);
        let Some(address) = address.filter(|address| !state.peers.is_without_loans(*address))
        else {
            replied(state, &team, inquiry, &lender, sent, None);
            return;
        };
        let mut reply = pin!(ask(state, address, &team, needed, wanted));
        if let Some(loan) = timer::within(LOAN_WAIT, reply.as_mut()).await {
            replied(state, &team, inquiry, &lender, sent, loan);
            return;
        }
        state.peers.has_no_loans(address);
        replied(state, &team, inquiry, &lender, sent, None);
        if let Some(loan) = reply.await {
            telemetry::quota_borrowed("late");
            let mut tracker = state.quotas.tracker.borrow_mut();
            tracker.replied_late(&team, &lender, sent, loan);
            drop(tracker);
            state.quotas.notify(&team);
        }
    });
}

/// Records the reply of a keeper, `None` if there is none, for all requests of the team that wait.
fn replied(
    state: &State,
    team: &str,
    inquiry: Inquiry,
    lender: &str,
    sent: Time,
    loan: Option<Loan>,
) {
    telemetry::quota_borrowed(match loan {
        Some(Loan::Amount(..)) => "lent",
        Some(Loan::Wait(_)) => "exhausted",
        Some(Loan::Unknown) => "unknown",
        None => "no-reply",
    });
    let mut tracker = state.quotas.tracker.borrow_mut();
    tracker.replied(clock::now(), team, &inquiry, lender, sent, loan);
    drop(tracker);
    state.quotas.notify(team);
}

fn charge(state: &Rc<State>, team: &str, parts: Vec<Part>) -> Charge {
    let is_fallback = parts.iter().any(|part| part.lender.is_none());
    telemetry::quota_decided(if is_fallback { "fallback" } else { "admitted" });
    Charge {
        state: state.clone(),
        team: team.to_string(),
        parts,
    }
}

fn refuse(state: &State, team: &str, amount: u64, wait: Duration) -> Outcome {
    telemetry::quota_decided("refused");
    state.quotas.refused(clock::now(), team, amount, wait);
    let units = wait.as_millis().div_ceil(RETRY_UNIT.as_millis()).max(1);
    let retry_after = RETRY_UNIT * u32::try_from(units).unwrap_or(u32::MAX);
    Outcome::over_quota(retry_after)
}
