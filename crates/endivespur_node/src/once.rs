//! Runs calls at most once, with a ledger of their outcomes in the platform's store.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::order::{
    self, Attempt, Event, Found, Record, Reply, State, Step, StoredResponse,
};
use endivespur_net::store::{Error, Outcome, Pair, Write};
use http_types::{Response, StatusCode};
use log::warn;
use smol::channel::{Receiver, Sender, bounded, unbounded};

use crate::answer::{Failure, Outcome as RequestOutcome};
use crate::clock;
use crate::dispatch::{self, AttemptError, Job, Permit};
use crate::node::{Node, sleep};
use crate::quota::{self, Charge};

/// The minimum time for which a record is kept.
const RECORD_TTL: Duration = Duration::from_hours(24);
/// The time for which one store lease is attached to new records.
const LEASE_REUSE: Duration = Duration::from_hours(1);
/// The time over which writes are collected into one call to the store.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// The maximum number of writes in one call to the store.
const MAX_BATCH_WRITES: usize = 64;
/// The number of reads that find no record before a claim counts as never written.
const MAX_ABANDON_READS: u32 = 10;
/// The delay before a record is read back.
const READ_BACK_DELAY: Duration = Duration::from_millis(100);
/// The delay between two attempts in the background.
const BACKGROUND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum size of a stored answer.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// A write and the channel for its outcome.
type PendingWrite = (Write, Sender<Result<Outcome, String>>);

/// The queue of the ledger's writes, and the store lease of its records.
pub struct Ledger {
    sender: Sender<PendingWrite>,
    receiver: Receiver<PendingWrite>,
    /// The lease's id and the time of its grant.
    lease: Cell<Option<(u64, Time)>>,
}

impl Ledger {
    /// Creates a ledger without a lease.
    pub fn new() -> Self {
        let (sender, receiver) = unbounded();
        Self {
            sender,
            receiver,
            lease: Cell::new(None),
        }
    }
}

/// Sends queued writes to the store in batches until the future is dropped.
pub async fn write_batches(node: Rc<Node>) {
    while let Ok(first) = node.ledger.receiver.recv().await {
        sleep(BATCH_DELAY).await;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_WRITES
            && let Ok(next) = node.ledger.receiver.try_recv()
        {
            batch.push(next);
        }
        node.spawn(send_batch(node.clone(), batch));
    }
}

async fn send_batch(node: Rc<Node>, batch: Vec<PendingWrite>) {
    let writes: Vec<Write> = batch.iter().map(|(write, _)| write.clone()).collect();
    match node.store.write(&writes).await {
        Ok(outcomes) => {
            for ((_, sender), outcome) in batch.iter().zip(outcomes) {
                sender.try_send(Ok(outcome)).ok();
            }
        }
        Err(error) => {
            for (_, sender) in &batch {
                sender.try_send(Err(error.to_string())).ok();
            }
        }
    }
}

/// Queues a write and waits for its outcome.
async fn write(node: &Node, write: Write) -> Result<Outcome, String> {
    let (sender, receiver) = bounded(1);
    node.ledger.sender.try_send((write, sender)).ok();
    receiver.recv().await.unwrap_or(Err("closed".to_string()))
}

/// Returns the lease for new records; acquires a new one after [`LEASE_REUSE`].
async fn lease(node: &Node) -> Result<u64, Error> {
    let now = clock::now();
    if let Some((id, at)) = node.ledger.lease.get()
        && at + LEASE_REUSE > now
    {
        return Ok(id);
    }
    let id = node.store.grant(RECORD_TTL + LEASE_REUSE).await?;
    node.ledger.lease.set(Some((id, now)));
    Ok(id)
}

/// Builds the request for an endpoint under a permit.
pub type RequestBuilder = Rc<dyn Fn(&Permit) -> Result<http_types::Request, Failure>>;
/// Reads an endpoint's complete response.
pub type AnswerReader =
    Rc<dyn Fn(Response) -> endivespur_net::http::LocalFuture<Result<StoredResponse, String>>>;

/// A call that runs at most once.
pub struct Call {
    /// The request to dispatch.
    pub job: Job,
    /// The caller's idempotency key.
    pub key: String,
    /// The hash of the call, which detects a key that is reused for another call.
    pub digest: u64,
    /// Builds the request for the endpoint.
    pub build_request: RequestBuilder,
    /// Reads the endpoint's response.
    pub read_answer: AnswerReader,
}

/// Runs a call at most once; completes it even if the caller disconnects.
pub async fn run(node: &Rc<Node>, call: Call) -> Response {
    let (sender, receiver) = bounded(1);
    let task_node = node.clone();
    node.spawn(async move {
        let response = match execute(&task_node, &call).await {
            Ok(response) => response,
            Err(failure) => failure.to_response(),
        };
        sender.try_send(response).ok();
    });
    let lost = Failure::unknown("the call was cut off");
    receiver.recv().await.unwrap_or_else(|_| lost.to_response())
}

/// Carries out the steps of the [`Attempt`] state machine.
async fn execute(node: &Rc<Node>, call: &Call) -> Result<Response, Failure> {
    let key = order::key(&call.job.request.organisation, &call.key);
    let incarnation = node.incarnation.get();
    let own_record = Record::new(&call.job.id, &node.settings.vm, incarnation, call.digest);
    let mut attempt = Attempt::new(own_record);
    let mut job = call.job.clone();
    let mut permit: Option<Permit> = None;
    let mut refusal = None;
    let mut charge: Option<Charge> = None;
    let mut steps = VecDeque::from([Step::Read]);
    while let Some(step) = steps.pop_front() {
        let event = match step {
            Step::Read => read_record(node, &key).await,
            Step::ReadBack => {
                sleep(READ_BACK_DELAY).await;
                read_record(node, &key).await
            }
            Step::Acquire => {
                // The grant on an endpoint that did not run the call is returned first.
                job.avoid
                    .extend(permit.take().map(|permit| permit.endpoint.clone()));
                match acquire(node, &job, &mut charge).await {
                    Ok(granted) => {
                        permit = Some(granted);
                        Event::Granted
                    }
                    Err(failure) => {
                        refusal = Some(failure);
                        Event::Refused
                    }
                }
            }
            Step::Claim => claim(node, &key, attempt.record()).await,
            Step::Dispatch => {
                let event = send(call, permit.as_mut()).await;
                if let Some(charge) = &mut charge {
                    charge.set_may_have_run(!matches!(event, Event::NotRun));
                }
                event
            }
            Step::Finish(state, expected_revision) => {
                let record = attempt.record().clone().with_state(storable_state(state));
                finish(node, &key, &record, expected_revision).await;
                continue;
            }
            Step::Abandon => {
                abandon(node, &key, attempt.record());
                continue;
            }
            Step::Reply(reply) => return respond(reply, permit.as_ref(), &call.job, refusal),
        };
        let table = node.table.borrow();
        let is_live = |vm: &str, incarnation: u64| {
            table
                .node(vm)
                .is_some_and(|found| found.incarnation == incarnation)
        };
        steps.extend(attempt.on(event, is_live));
    }
    Err(Failure::unknown("the attempt ended without an answer"))
}

/// Charges the call to its organisation's quota, unless it has been, and acquires a grant. A repeated call that
/// has a record is answered from it without a charge.
async fn acquire(
    node: &Rc<Node>,
    job: &Job,
    charge: &mut Option<Charge>,
) -> Result<Permit, Failure> {
    if charge.is_none() {
        *charge = Some(quota::admit(node, job).await?);
    }
    dispatch::acquire(node, job).await
}

fn parse(pair: Option<Pair>) -> Option<Found> {
    let pair = pair?;
    let record = serde_json::from_str(pair.value.as_deref()?).ok()?;
    Some((pair.revision, record))
}

async fn read_record(node: &Node, key: &str) -> Event {
    match node.store.get(key).await {
        Ok(found) => Event::Read(parse(found)),
        Err(_) => Event::ReadFailed,
    }
}

/// Writes the attempt's record, unless the key already has one.
async fn claim(node: &Rc<Node>, key: &str, own_record: &Record) -> Event {
    let Ok(lease) = lease(node).await else {
        return Event::ClaimLost;
    };
    let text = serde_json::json!(own_record).to_string();
    let claim = Write::new(key, &text)
        .with_expected_revision(0)
        .with_lease(lease);
    match write(node, claim).await {
        Ok(Outcome::Written(revision)) => Event::Claimed(revision),
        Ok(Outcome::Conflict(found)) => Event::Conflict(parse(found)),
        Err(message) => {
            warn!(event = "claim-lost", attempt = own_record.attempt.as_str(); "{message}");
            Event::ClaimLost
        }
    }
}

/// Sends the call once, after the claim has been written.
async fn send(call: &Call, permit: Option<&mut Permit>) -> Event {
    let Some(permit) = permit else {
        return Event::NotRun;
    };
    let Ok(request) = (call.build_request)(permit) else {
        return Event::NotRun;
    };
    match dispatch::send(permit, request, &call.job.id).await {
        Ok(response) => match (call.read_answer)(response).await {
            Ok(answer) => Event::Responded(answer),
            Err(_) => Event::Lost,
        },
        Err(AttemptError::NotRun(_)) => Event::NotRun,
        Err(AttemptError::Lost(_)) => Event::Lost,
    }
}

/// Records the outcome; retries in the background while the store is unavailable.
async fn finish(node: &Rc<Node>, key: &str, record: &Record, expected_revision: u64) {
    let text = serde_json::json!(record).to_string();
    let lease = node.ledger.lease.get().map_or(0, |(id, _)| id);
    let done = Write::new(key, &text)
        .with_expected_revision(expected_revision)
        .with_lease(lease);
    if write(node, done.clone()).await.is_ok() {
        return;
    }
    let task_node = node.clone();
    node.spawn(async move {
        while write(&task_node, done.clone()).await.is_err() {
            sleep(BACKGROUND_RETRY_DELAY).await;
        }
    });
}

/// Removes the claim of a call that was never sent, so that the caller may send it again.
fn abandon(node: &Rc<Node>, key: &str, own_record: &Record) {
    let (node, key, own_record) = (node.clone(), key.to_string(), own_record.clone());
    node.clone().spawn(async move {
        let mut reads = 0;
        while reads < MAX_ABANDON_READS {
            match remove(&node, &key, &own_record).await {
                Ok(true) => return,
                Ok(false) => reads += 1,
                Err(_) => {}
            }
            sleep(BACKGROUND_RETRY_DELAY).await;
        }
    });
}

/// Removes the attempt's own claim; returns whether the key held any record.
async fn remove(node: &Node, key: &str, own_record: &Record) -> Result<bool, String> {
    let found = node
        .store
        .get(key)
        .await
        .map_err(|error| error.to_string())?;
    let Some((revision, found)) = parse(found) else {
        return Ok(false);
    };
    if found.attempt != own_record.attempt {
        return Ok(true);
    }
    let delete = Write {
        key: key.to_string(),
        value: None,
        expected_revision: Some(revision),
        lease: 0,
    };
    write(node, delete).await.map(|_| true)
}

/// Returns the HTTP response for the reply of the [`Attempt`].
fn respond(
    reply: Reply,
    permit: Option<&Permit>,
    job: &Job,
    refusal: Option<Failure>,
) -> Result<Response, Failure> {
    let not_run = |message| {
        let failure = Failure::not_run(StatusCode::ServiceUnavailable, message);
        failure.with_retry_after(Duration::from_secs(2))
    };
    match reply {
        Reply::Ran(answer) => {
            let mut response = to_response(&answer);
            if let Some(permit) = permit {
                crate::entry::add_run_headers(&mut response, permit, job);
            }
            Ok(response)
        }
        Reply::Replayed(answer) => {
            let mut response = to_response(&answer);
            response.insert_header("endivespur-replayed", "true");
            Ok(response)
        }
        Reply::Running => Err(Failure {
            status: StatusCode::Conflict,
            ..Failure::unknown("the call is still running").with_retry_after(Duration::from_secs(1))
        }),
        Reply::Unknown => Err(Failure::unknown("the call's outcome is unknown")),
        Reply::Mismatch => Err(Failure::not_run(
            StatusCode::UnprocessableEntity,
            "the idempotency key was used for another call",
        )),
        Reply::LedgerUnavailable => Err(not_run("the ledger is out")),
        Reply::NoEndpoint => Err(refusal.unwrap_or_else(|| not_run("each endpoint refused"))),
    }
}

/// Returns the state to store; an answer that is too large is replaced by a note.
fn storable_state(state: State) -> State {
    match state {
        State::Done(answer) => State::Done(storable_answer(&answer)),
        other => other,
    }
}

/// Returns the answer to store; one that is too large is replaced by a note.
fn storable_answer(answer: &StoredResponse) -> StoredResponse {
    if answer.body.len() <= MAX_ANSWER_BYTES {
        return answer.clone();
    }
    let note = "the call ran and its answer was too large to keep";
    StoredResponse {
        status: StatusCode::Gone as u16,
        media: "application/json".to_string(),
        body: serde_json::json!({ "error": { "message": note, "code": 410 } }).to_string(),
    }
}

fn to_response(answer: &StoredResponse) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body.clone());
    response.insert_header("content-type", answer.media.as_str());
    response.insert_header("endivespur-outcome", RequestOutcome::Ran.name());
    response
}
