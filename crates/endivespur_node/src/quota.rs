//! Keeps organisations to their quotas, together with the other nodes of all regions.
//!
//! A request of an organisation with a quota is admitted before a grant is asked for it. This node lends the shards of
//! quotas that it keeps, and borrows from the keepers of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::gateway::quota::keeper::Loan;
use endivespur_core::gateway::quota::wallet::{Inquiry, Part, Step};
use endivespur_core::hash;
use endivespur_core::id::{Organisation, Vm};
use endivespur_core::member::process;
use endivespur_core::query::Row;
use endivespur_core::quota::{Quota, teams};
use serde_json::json;
use smol::channel::{TrySendError, bounded};
use smol::future::FutureExt;

use crate::answer::Failure;
use crate::clock;
use crate::dispatch::{self, Job};
use crate::node::{Node, sleep};
use crate::{peer, sync};

/// How long a request waits for an amount rather than being refused: a new keeper's bucket fills within that time.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// The time in which requests wait instead, from the first confirmed view after the node's record was written: the shards of
/// all nodes that started together, or lost their records together, are lent 3.2 s after they know each other.
const START_TIME: Duration = Duration::from_secs(5);
/// The maximum wait for a keeper's reply. An amount that arrives later is used for other requests.
const BORROW_TIMEOUT: Duration = Duration::from_millis(150);
/// The time between two checks of the loans and of the view of the other nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two comparisons of the known nodes with the store: 1,186 calls a second for 830 nodes, where the store
/// takes 2,000 reads. A view whose age stays below 0.9 s needs no probes.
const COMPARE_INTERVAL: Duration = Duration::from_millis(700);
/// The first delay after a comparison that failed: a watch usually delivers a write within this time. It doubles up to
/// [`COMPARE_INTERVAL`]: at a constant 0.1 s, an overloaded store got seven times the planned calls.
const COMPARE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The interval at which a node without quotas looks for them; requests look themselves.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// What a request was charged. Dropped without having run, it is returned.
pub struct Charge {
    node: Rc<Node>,
    organisation: Organisation,
    parts: Vec<Part>,
    may_have_run: bool,
}

impl Charge {
    fn new(node: &Rc<Node>, organisation: &str, parts: Vec<Part>) -> Self {
        Self {
            node: node.clone(),
            organisation: organisation.to_string(),
            parts,
            may_have_run: false,
        }
    }

    /// Records whether the request has run, or may have.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let parts = std::mem::take(&mut self.parts);
        if self.may_have_run || parts.is_empty() {
            return;
        }
        count_decision("returned");
        let quotas = &self.node.quotas;
        let amount = parts.iter().map(|part| part.amount).sum();
        quotas.usage(&self.organisation, |usage| usage.put_back(amount));
        let ended = {
            let mut tracker = quotas.tracker.borrow_mut();
            tracker.put_back(clock::now(), &self.organisation, parts)
        };
        give_back(&self.node, &self.organisation, ended);
    }
}

fn count_decision(outcome: &'static str) {
    metrics::counter!("endivespur_quota_total", "outcome" => outcome).increment(1);
}

/// Follows the configuration and the other nodes, and gives loans back, until the future is dropped.
pub async fn follow(node: Rc<Node>) {
    loop {
        synchronize(&node);
        if node.quotas.tracker.borrow().is_empty() {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        check(&node);
        sleep(CHECK_INTERVAL).await;
    }
}

/// Compares the view of the nodes with the store's while there are quotas, until the future is dropped.
pub async fn confirm_views(node: Rc<Node>) {
    let mut retry_delay = COMPARE_RETRY_DELAY;
    loop {
        if node.quotas.tracker.borrow().is_empty() {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        if let Some(at) = sync::compare_nodes(&node).await {
            confirm(&node, at);
            retry_delay = COMPARE_RETRY_DELAY;
            // From when it was sent: a slow store would make the views older.
            sleep((at + COMPARE_INTERVAL).saturating_sub(clock::now())).await;
        } else {
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(COMPARE_INTERVAL);
        }
    }
}

/// Records that the view was the same as the store's at `at`; the start ends some time after the first such view with the
/// record of this node.
fn confirm(node: &Node, at: Time) {
    let quotas = &node.quotas;
    quotas.confirmed_at.set(at);
    let table = node.table.borrow();
    let own = table.node(&node.settings.vm);
    let is_written = own.is_some_and(|record| record.incarnation == node.incarnation.get());
    if quotas.start_end.get().is_none() && is_written {
        quotas.start_end.set(Some(clock::now() + START_TIME));
    }
}

/// Takes over the quotas of the configuration in force, and the known nodes if there are quotas.
fn synchronize(node: &Node) {
    let quotas = &node.quotas;
    let now = clock::now();
    let mut tracker = quotas.tracker.borrow_mut();
    let config = node.config.borrow();
    // Before the first listing there is no configuration.
    if config.is_empty() {
        return;
    }
    let is_changed = quotas.revision.replace(config.revision) != config.revision;
    let new_teams = is_changed.then(|| teams(&config.organisations));
    let has_quotas = new_teams
        .as_ref()
        .map_or(!tracker.is_empty(), |teams| teams.iter().next().is_some());
    // The nodes first: buckets of a quota that is new are full at the nodes that keep them.
    if has_quotas {
        let incarnation = node.incarnation.get();
        if quotas.incarnation.replace(incarnation) != incarnation {
            // Other nodes may have lent the shards of the former incarnation.
            tracker.assign(now, [].iter());
            quotas.start_end.set(None);
        }
        let vms = members(node);
        tracker.assign(now, vms.iter());
    }
    let is_first = tracker.version().is_none();
    if let Some(new_teams) = new_teams
        && (is_first || *quotas.teams.borrow() != new_teams)
    {
        if !is_first && tracker.is_empty() {
            // Without quotas the view was not compared. The store has just sent the quota, and with it what is older.
            // Its buckets are full, and nobody settles.
            quotas.confirmed_at.set(now);
            quotas.start_end.set(Some(now));
        }
        quotas.forget_others(&new_teams);
        tracker.configure(now, config.revision, Some(&new_teams));
        *quotas.teams.borrow_mut() = new_teams;
    }
}

/// Returns this node's counts of the organisations with quotas, and the digests of the keys that it knows.
pub fn rows(node: &Node) -> Vec<Row> {
    let now = clock::now();
    let mut digests = node.authenticator.digests();
    let teams = node.quotas.teams.borrow();
    for (organisation, _) in teams.iter() {
        digests.entry(organisation.clone()).or_default();
    }
    let to_row = |(organisation, key): (Organisation, Option<String>)| {
        let (rate, refused) = if teams.get(&organisation).is_some() {
            node.quotas
                .usage(&organisation, |usage| (usage.rate(now), usage.refused(now)))
        } else {
            (0.0, 0)
        };
        let row = json!({
            "organisation": organisation, "used_per_s": rate, "refused_1m": refused, "key": key,
        });
        row.as_object().cloned().unwrap_or_default()
    };
    digests.into_iter().map(to_row).collect()
}

/// Returns the reasons why a quota cannot be set: nodes of older builds would not keep to it, and would not know an
/// organisation that has one when they start.
pub fn findings(node: &Node) -> Vec<String> {
    let table = node.table.borrow();
    let older = table.nodes().filter(|(_, record)| !record.keeps_quotas);
    older
        .map(|(vm, _)| format!("node {vm} is of an older build, which does not keep quotas"))
        .collect()
}

/// Returns the nodes that keep quotas, this one included while the record under its name is its own.
///
/// A daemon that another one under its name has replaced keeps no shards any longer. A node whose record cannot be read
/// may lend its shards, so no other node lends them.
fn members(node: &Node) -> Vec<Vm> {
    let table = node.table.borrow();
    let keeping = table.nodes().filter(|(vm, record)| {
        let is_own = node.is_self(vm, record.incarnation);
        record.keeps_quotas && (is_own || **vm != node.settings.vm)
    });
    let keeping = keeping.map(|(vm, _)| vm);
    let unreadable = table.unreadable_nodes();
    let others = unreadable.filter(|vm| **vm != node.settings.vm);
    let vms: BTreeSet<&Vm> = keeping.chain(others).collect();
    vms.into_iter().cloned().collect()
}

/// Returns a hash of the processes that keep quotas, by which two views are compared.
fn view_digest(node: &Node) -> u64 {
    let table = node.table.borrow();
    let keeping = table.nodes().filter(|(_, record)| record.keeps_quotas);
    let processes = keeping.map(|(vm, record)| process(vm, record.incarnation));
    let all = processes.chain(table.unreadable_nodes().cloned());
    all.fold(0, |seed, process| hash::mix(&process, seed))
}

/// Gives loans back that end soon, and probes other nodes if the view has not been confirmed.
fn check(node: &Rc<Node>) {
    let now = clock::now();
    let quotas = &node.quotas;
    quotas.check_refusals(now);
    let (ended, probed) = {
        let mut tracker = quotas.tracker.borrow_mut();
        let ended = tracker.expire(now);
        (ended, tracker.check(now, quotas.view_age(now)))
    };
    for (organisation, parts) in ended {
        give_back(node, &organisation, parts);
    }
    for vm in probed {
        let task_node = node.clone();
        node.spawn(async move { probe(&task_node, &vm).await });
    }
}

/// Finds out whether another node replies and knows the same processes as this one.
///
/// A node that is cut off from the store alone reaches the others too. They know when its record has ended.
async fn probe(node: &Rc<Node>, vm: &Vm) {
    let sent = clock::now();
    let digest = view_digest(node);
    let Some(address) = address(node, vm) else {
        return;
    };
    let reply = peer::borrow(node, &address, "", digest, 0).await;
    if reply == Ok(Loan::Unknown) && view_digest(node) == digest {
        let mut tracker = node.quotas.tracker.borrow_mut();
        tracker.probe_replied(vm, sent);
    }
}

fn address(node: &Node, vm: &str) -> Option<String> {
    let table = node.table.borrow();
    table.node(vm).map(|record| record.address.clone())
}

/// Gives back what was not used to those that have lent it.
fn give_back(node: &Rc<Node>, organisation: &str, parts: Vec<Part>) {
    let mut amounts: BTreeMap<Vm, u64> = BTreeMap::new();
    for part in parts {
        if let Some(lender) = part.lender {
            *amounts.entry(lender).or_default() += part.amount;
        }
    }
    for (lender, amount) in amounts {
        if lender == node.settings.vm {
            let mut tracker = node.quotas.tracker.borrow_mut();
            tracker.give_back(clock::now(), organisation, amount);
        } else if let Some(address) = address(node, &lender) {
            let (task_node, organisation) = (node.clone(), organisation.to_string());
            node.spawn(async move {
                peer::give_back(&task_node, &address, &organisation, amount).await;
            });
        }
    }
}

/// Lends an amount of an organisation's quota to another node. Without an organisation it is a probe: the reply is
/// [`Loan::Unknown`] if `needed` is the digest of the processes that this one knows.
pub fn lend(node: &Node, organisation: &str, needed: u64, wanted: u64) -> Loan {
    if organisation.is_empty() {
        return if needed == view_digest(node) {
            Loan::Unknown
        } else {
            Loan::Wait(Duration::ZERO)
        };
    }
    // The records of other nodes may have changed since the last check.
    synchronize(node);
    let now = clock::now();
    let mut tracker = node.quotas.tracker.borrow_mut();
    tracker.lend(now, node.quotas.view_age(now), organisation, needed, wanted)
}

/// Asks a keeper for an amount; returns `None` without a reply in time.
async fn ask(
    node: &Rc<Node>,
    lender: &Vm,
    organisation: &str,
    needed: u64,
    wanted: u64,
) -> Option<Loan> {
    if *lender == node.settings.vm {
        return Some(lend(node, organisation, needed, wanted));
    }
    let address = address(node, lender)?;
    let (sender, receiver) = bounded(1);
    let task = (node.clone(), lender.clone(), organisation.to_string());
    let sent = clock::now();
    node.spawn(async move {
        let (node, lender, organisation) = task;
        let loan = peer::borrow(&node, &address, &organisation, needed, wanted).await;
        let late = sender.try_send(loan.ok()).err();
        if let Some(loan @ Loan::Amount(..)) = late.and_then(TrySendError::into_inner) {
            let mut tracker = node.quotas.tracker.borrow_mut();
            tracker.replied_late(&organisation, &lender, sent, loan);
            drop(tracker);
            node.quotas.changed.notify(usize::MAX);
        }
    });
    let timeout = async {
        sleep(BORROW_TIMEOUT).await;
        None
    };
    let reply = async { receiver.recv().await.ok().flatten() };
    reply.or(timeout).await
}

/// Admits a request if its organisation's quota permits it; returns what it was charged, nothing without a quota.
///
/// # Errors
///
/// Returns the refusal of a request over the quota.
pub async fn admit(node: &Rc<Node>, job: &Job) -> Result<Charge, Failure> {
    let organisation = &job.request.organisation;
    let tokens = job.request.model.as_ref().map(|_| job.cost);
    let amount = {
        let config = node.config.borrow();
        let tenant = config.organisations.get(organisation);
        let quota = tenant.and_then(|tenant| tenant.quota.as_ref());
        quota.map(|quota: &Quota| quota.amount(tokens))
    };
    let Some(amount) = amount else {
        return Ok(Charge::new(node, organisation, Vec::new()));
    };
    // A request that has no place to run is refused for that.
    dispatch::candidates(node, job)?;
    // The configuration may have arrived just now.
    synchronize(node);
    let now = clock::now();
    {
        let mut tracker = node.quotas.tracker.borrow_mut();
        tracker.demanded(now, organisation, amount);
    }
    let wait_until = job.deadline.min(wait_deadline(node, now));
    let mut inquiry = Inquiry::new(now, amount, wait_until.saturating_sub(now));
    if now < start_end(node, now) {
        inquiry = inquiry.with_ask_until_deadline();
    }
    loop {
        match step(node, organisation, &inquiry) {
            // Without a quota meanwhile, nothing is charged.
            None => return Ok(Charge::new(node, organisation, Vec::new())),
            Some(Step::Borrow {
                lender,
                needed,
                wanted,
            }) => borrow(node, organisation, inquiry, lender, (needed, wanted)),
            Some(Step::Admit(parts)) => return Ok(charge(node, organisation, amount, parts)),
            Some(Step::Refuse(wait)) => {
                // What was reserved for this request is free for others.
                node.quotas.changed.notify(usize::MAX);
                return Err(refuse(node, organisation, amount, wait));
            }
            Some(Step::Wait(wait)) => {
                // The reply that it waits for may be one to another request.
                let changed = node.quotas.changed.listen();
                sleep(wait).or(changed).await;
            }
        }
    }
}

/// Returns until when a request waits for an amount.
fn wait_deadline(node: &Node, now: Time) -> Time {
    start_end(node, now).max(now + MAX_WAIT)
}

/// Returns until when shards may settle because of a start.
fn start_end(node: &Node, now: Time) -> Time {
    node.quotas.start_end.get().unwrap_or(now + START_TIME)
}

fn step(node: &Node, organisation: &str, inquiry: &Inquiry) -> Option<Step> {
    let mut tracker = node.quotas.tracker.borrow_mut();
    tracker.step(clock::now(), organisation, inquiry)
}

/// Borrows an amount in a task of its own: the request may ask other keepers meanwhile, or end.
fn borrow(
    node: &Rc<Node>,
    organisation: &str,
    inquiry: Inquiry,
    lender: Vm,
    (needed, wanted): (u64, u64),
) {
    let sent = clock::now();
    let (task_node, organisation) = (node.clone(), organisation.to_string());
    node.spawn(async move {
        let node = task_node;
        let loan = ask(&node, &lender, &organisation, needed, wanted).await;
        let outcome = match loan {
            Some(Loan::Amount(..)) => "lent",
            Some(Loan::Wait(_)) => "exhausted",
            Some(Loan::Unknown) => "unknown",
            None => "no-reply",
        };
        metrics::counter!("endivespur_quota_loans_total", "outcome" => outcome).increment(1);
        let now = clock::now();
        let mut tracker = node.quotas.tracker.borrow_mut();
        tracker.replied(now, &organisation, &inquiry, &lender, sent, loan);
        drop(tracker);
        node.quotas.changed.notify(usize::MAX);
    });
}

fn charge(node: &Rc<Node>, organisation: &str, amount: u64, parts: Vec<Part>) -> Charge {
    let is_fallback = parts.iter().any(|part| part.lender.is_none());
    count_decision(if is_fallback { "fallback" } else { "admitted" });
    let now = clock::now();
    node.quotas
        .usage(organisation, |usage| usage.charge(now, amount));
    Charge::new(node, organisation, parts)
}

fn refuse(node: &Node, organisation: &str, amount: u64, wait: Duration) -> Failure {
    count_decision("refused");
    node.quotas
        .refused(clock::now(), organisation, amount, wait);
    Failure::over_quota(wait)
}
