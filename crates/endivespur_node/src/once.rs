//! Calls that run at most once, by a ledger in the platform's store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::order::{self, Answer, Record, State, Verdict};
use endivespur_net::store::{Error, Outcome, Pair, Write};
use http_types::{Response, StatusCode};
use log::warn;
use smol::channel::{Sender, bounded};

use crate::answer::{self, Failure};
use crate::clock;
use crate::dispatch::{self, Job, Miss, Permit};
use crate::node::{Node, sleep};

/// The time for which a record is kept.
const WINDOW: Duration = Duration::from_hours(24);
/// The time for which one lease of the ledger is used.
const LEASE_USE: Duration = Duration::from_hours(1);
/// The time over which writes are gathered into one call.
const GROUP: Duration = Duration::from_millis(5);
/// The most writes in one call.
const GROUP_WRITES: usize = 64;
/// The reads with which a lost answer of the store is settled.
const READ_BACKS: u32 = 4;
/// The pause between two tries in the background.
const BACKGROUND_RETRY: Duration = Duration::from_secs(1);
/// The largest answer that is kept.
const ANSWER_BYTES: usize = 256 << 10;
/// Endpoints that are tried for one claim.
const TRIES: usize = 3;

type Waiting = (Write, Sender<Result<Outcome, String>>);

thread_local! {
    /// Writes that wait for the next grouped call.
    static GROUPED: RefCell<Vec<Waiting>> = const { RefCell::new(Vec::new()) };
    /// The ledger's lease and when it was granted.
    static LEASE: RefCell<Option<(u64, Time)>> = const { RefCell::new(None) };
}

/// Sends the gathered writes until the future is dropped.
pub async fn run_groups(node: Rc<Node>) {
    loop {
        sleep(GROUP).await;
        let group: Vec<Waiting> = GROUPED.with_borrow_mut(|grouped| {
            let count = grouped.len().min(GROUP_WRITES);
            grouped.drain(..count).collect()
        });
        if !group.is_empty() {
            node.spawn(send_group(node.clone(), group));
        }
    }
}

async fn send_group(node: Rc<Node>, group: Vec<Waiting>) {
    let writes: Vec<Write> = group.iter().map(|(write, _)| write.clone()).collect();
    match node.store.write(&writes).await {
        Ok(outcomes) => {
            for ((_, sender), outcome) in group.iter().zip(outcomes) {
                sender.try_send(Ok(outcome)).ok();
            }
        }
        Err(error) => {
            for (_, sender) in &group {
                sender.try_send(Err(error.to_string())).ok();
            }
        }
    }
}

async fn write(write: Write) -> Result<Outcome, String> {
    let (sender, receiver) = bounded(1);
    GROUPED.with_borrow_mut(|grouped| grouped.push((write, sender)));
    receiver.recv().await.unwrap_or(Err("closed".to_string()))
}

async fn lease(node: &Node) -> Result<u64, Error> {
    let now = clock::now();
    if let Some((id, at)) = LEASE.with_borrow(|lease| *lease)
        && at + LEASE_USE > now
    {
        return Ok(id);
    }
    let id = node.store.grant(WINDOW + LEASE_USE).await?;
    LEASE.with_borrow_mut(|lease| *lease = Some((id, now)));
    Ok(id)
}

/// Makes the request for an endpoint under a permit.
pub type Make = Rc<dyn Fn(&Permit) -> Result<http_types::Request, Failure>>;
/// Reads an endpoint's answer whole.
pub type Read = Rc<dyn Fn(Response) -> endivespur_net::http::Local<Result<Answer, String>>>;

/// A call that runs at most once.
pub struct Call {
    /// What needs a grant.
    pub job: Job,
    /// The caller's idempotency key.
    pub key: String,
    /// The hash of the call.
    pub digest: u64,
    /// Makes the endpoint's request.
    pub make: Make,
    /// Reads the endpoint's answer.
    pub read: Read,
}

/// Runs a call at most once; goes on to its end even if the caller leaves.
pub async fn run(node: &Rc<Node>, call: Call) -> Response {
    let (sender, receiver) = bounded(1);
    let task = node.clone();
    node.spawn(async move {
        let response = match execute(&task, &call).await {
            Ok(response) => response,
            Err(failure) => failure.answer(),
        };
        sender.try_send(response).ok();
    });
    let lost = Failure::unknown("the call was cut off");
    receiver.recv().await.unwrap_or_else(|_| lost.answer())
}

async fn execute(node: &Rc<Node>, call: &Call) -> Result<Response, Failure> {
    let key = order::key(&call.job.request.organisation, &call.key);
    let mine = Record::new(
        &call.job.id,
        &node.settings.vm,
        node.incarnation.get(),
        call.digest,
    );
    // A stored answer is returned even while no endpoint has room.
    if let Some(found) = node.store.get(&key).await.map_err(ledger_out)? {
        let verdict = judge(node, &mine, &found);
        return settled(verdict)
            .unwrap_or_else(|| Err(Failure::unknown("a claim of this attempt stands")));
    }
    let mut job = call.job.clone();
    let mut permit = dispatch::acquire(node, &job).await?;
    let claim = match claim(node, &key, &mine).await? {
        Claimed::Mine(revision) => revision,
        Claimed::Other(verdict) => {
            return settled(verdict)
                .unwrap_or_else(|| Err(Failure::unknown("the claim is unclear")));
        }
    };
    let record = Entry { key, mine, claim };
    for _ in 0..TRIES {
        match attempt(call, &mut permit).await {
            Ok(answer) => {
                finish(node, &record, State::Done(kept(&answer))).await;
                return Ok(response(&answer, &permit, &call.job));
            }
            Err(Miss::Lost(message)) => {
                finish(node, &record, State::Unknown).await;
                return Err(Failure::unknown(&message));
            }
            Err(Miss::NotRun(_)) => {}
        }
        job.avoid.insert(permit.endpoint.clone());
        drop(permit);
        permit = match dispatch::acquire(node, &job).await {
            Ok(permit) => permit,
            Err(failure) => {
                abandon(node, record);
                return Err(failure);
            }
        };
    }
    abandon(node, record);
    let refused = Failure::not_run(StatusCode::ServiceUnavailable, "each endpoint refused");
    Err(refused.with_retry(Duration::from_secs(2)))
}

fn ledger_out(error: impl std::fmt::Display) -> Failure {
    let message = format!("the ledger is out: {error}");
    Failure::not_run(StatusCode::ServiceUnavailable, &message).with_retry(Duration::from_secs(2))
}

struct Entry {
    key: String,
    mine: Record,
    claim: u64,
}

enum Claimed {
    Mine(u64),
    Other(Verdict),
}

fn judge(node: &Node, mine: &Record, found: &Pair) -> Verdict {
    let text = found.value.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_str::<Record>(text) else {
        return Verdict::Unknown;
    };
    let table = node.table.borrow();
    order::judge(mine, &record, |vm, incarnation| {
        table
            .node(vm)
            .is_some_and(|found| found.incarnation == incarnation)
    })
}

/// Returns the answer that a verdict settles, nothing if the attempt may run.
fn settled(verdict: Verdict) -> Option<Result<Response, Failure>> {
    let failure = match verdict {
        Verdict::Run => return None,
        Verdict::Replay(answer) => {
            let mut response = plain(&answer);
            response.insert_header("endivespur-replayed", "true");
            return Some(Ok(response));
        }
        Verdict::Running => Failure {
            status: StatusCode::Conflict,
            ..Failure::unknown("the call is still running").with_retry(Duration::from_secs(1))
        },
        Verdict::Unknown => Failure::unknown("the call was dispatched and its outcome is unknown"),
        Verdict::Mismatch => Failure::not_run(
            StatusCode::UnprocessableEntity,
            "the idempotency key was used for another call",
        ),
    };
    Some(Err(failure))
}

/// Claims the key; a lost answer of the store is settled by reading back.
async fn claim(node: &Rc<Node>, key: &str, mine: &Record) -> Result<Claimed, Failure> {
    let lease = lease(node).await.map_err(ledger_out)?;
    let text = serde_json::json!(mine).to_string();
    let claim = Write::new(key, &text).with_over(0).with_lease(lease);
    let unsure = Entry {
        key: key.to_string(),
        mine: mine.clone(),
        claim: 0,
    };
    let found = match write(claim).await {
        Ok(Outcome::Written(revision)) => return Ok(Claimed::Mine(revision)),
        Ok(Outcome::Conflict(found)) => found,
        Err(message) => {
            warn!(
                "ledger: {}: the claim's answer is lost: {message}",
                mine.attempt
            );
            let Some(found) = read_back(node, key).await else {
                abandon(node, unsure);
                return Err(ledger_out(message));
            };
            found
        }
    };
    let Some(found) = found else {
        // Not there: the claim may still be on its way, so it must not be believed lost.
        abandon(node, unsure);
        return Err(ledger_out("the claim did not take effect"));
    };
    match judge(node, mine, &found) {
        Verdict::Run => Ok(Claimed::Mine(found.revision)),
        verdict => Ok(Claimed::Other(verdict)),
    }
}

/// Reads a key until the store answers; nothing if it does not.
#[allow(clippy::option_option)]
async fn read_back(node: &Node, key: &str) -> Option<Option<Pair>> {
    for _ in 0..READ_BACKS {
        if let Ok(found) = node.store.get(key).await {
            return Some(found);
        }
        sleep(Duration::from_millis(200)).await;
    }
    None
}

/// Sends the call once, under a claim that stands.
async fn attempt(call: &Call, permit: &mut Permit) -> Result<Answer, Miss> {
    let request = (call.make)(permit).map_err(|failure| Miss::NotRun(failure.message))?;
    let response = dispatch::send(permit, request, &call.job.id).await?;
    (call.read)(response).await.map_err(Miss::Lost)
}

/// Records the outcome; if the store is out, goes on trying in the background.
async fn finish(node: &Rc<Node>, entry: &Entry, state: State) {
    let record = entry.mine.clone().with_state(state);
    let text = serde_json::json!(record).to_string();
    let lease = LEASE.with_borrow(|lease| lease.map_or(0, |(id, _)| id));
    let done = Write::new(&entry.key, &text)
        .with_over(entry.claim)
        .with_lease(lease);
    if write(done.clone()).await.is_ok() {
        return;
    }
    node.spawn(async move {
        while write(done.clone()).await.is_err() {
            sleep(BACKGROUND_RETRY).await;
        }
    });
}

/// Removes a claim that was never dispatched, so that a resend may run.
fn abandon(node: &Rc<Node>, entry: Entry) {
    let node = node.clone();
    node.clone().spawn(async move {
        let mut looks = 0;
        while looks < READ_BACKS {
            match remove(&node, &entry).await {
                Ok(true) => return,
                Ok(false) => looks += 1,
                Err(_) => {}
            }
            sleep(BACKGROUND_RETRY).await;
        }
    });
}

/// Removes the attempt's own claim; tells whether it stood there.
async fn remove(node: &Node, entry: &Entry) -> Result<bool, String> {
    let found = node
        .store
        .get(&entry.key)
        .await
        .map_err(|error| error.to_string())?;
    let Some(found) = found else {
        return Ok(false);
    };
    if judge(node, &entry.mine, &found) != Verdict::Run {
        return Ok(true);
    }
    let delete = Write {
        key: entry.key.clone(),
        value: None,
        over: Some(found.revision),
        lease: 0,
    };
    write(delete).await.map(|_| true)
}

/// Returns the answer as it is kept; one that is too large is replaced by a note.
fn kept(answer: &Answer) -> Answer {
    if answer.body.len() <= ANSWER_BYTES {
        return answer.clone();
    }
    let note = "the call ran and its answer was too large to keep";
    Answer {
        status: StatusCode::Gone as u16,
        media: "application/json".to_string(),
        body: serde_json::json!({ "error": { "message": note, "code": 410 } }).to_string(),
    }
}

fn plain(answer: &Answer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body.clone());
    response.insert_header("content-type", answer.media.as_str());
    response.insert_header("endivespur-outcome", answer::Outcome::Ran.name());
    response
}

fn response(answer: &Answer, permit: &Permit, job: &Job) -> Response {
    let mut response = plain(answer);
    crate::entry::place(&mut response, permit, job);
    response
}
