//! Calls that run at most once, by a ledger in the platform's store.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::order::{self, Answer, Attempt, Event, Found, Record, Reply, State, Step};
use endivespur_net::store::{Error, Outcome, Pair, Write};
use http_types::{Response, StatusCode};
use log::warn;
use smol::channel::{Receiver, Sender, bounded, unbounded};

use crate::answer::{Failure, Outcome as Ran};
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
/// The looks after which a claim that never took effect is given up.
const ABANDON_LOOKS: u32 = 10;
/// The pause before a record is read back.
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);
/// The pause between two tries in the background.
const BACKGROUND_RETRY: Duration = Duration::from_secs(1);
/// The largest answer that is kept.
const ANSWER_BYTES: usize = 256 << 10;
type Waiting = (Write, Sender<Result<Outcome, String>>);

/// The ledger's writes on their way into grouped calls, and its lease.
pub struct Ledger {
    sender: Sender<Waiting>,
    receiver: Receiver<Waiting>,
    lease: Cell<Option<(u64, Time)>>,
}

impl Ledger {
    /// Makes a ledger without a lease.
    pub fn new() -> Self {
        let (sender, receiver) = unbounded();
        Self {
            sender,
            receiver,
            lease: Cell::new(None),
        }
    }
}

/// Sends the gathered writes until the future is dropped.
pub async fn run_groups(node: Rc<Node>) {
    while let Ok(first) = node.ledger.receiver.recv().await {
        sleep(GROUP).await;
        let mut group = vec![first];
        while group.len() < GROUP_WRITES
            && let Ok(next) = node.ledger.receiver.try_recv()
        {
            group.push(next);
        }
        node.spawn(send_group(node.clone(), group));
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

async fn write(node: &Node, write: Write) -> Result<Outcome, String> {
    let (sender, receiver) = bounded(1);
    node.ledger.sender.try_send((write, sender)).ok();
    receiver.recv().await.unwrap_or(Err("closed".to_string()))
}

async fn lease(node: &Node) -> Result<u64, Error> {
    let now = clock::now();
    if let Some((id, at)) = node.ledger.lease.get()
        && at + LEASE_USE > now
    {
        return Ok(id);
    }
    let id = node.store.grant(WINDOW + LEASE_USE).await?;
    node.ledger.lease.set(Some((id, now)));
    Ok(id)
}

/// Makes the request for an endpoint under a permit.
pub type Make = Rc<dyn Fn(&Permit) -> Result<http_types::Request, Failure>>;
/// Reads an endpoint's answer whole.
pub type Read = Rc<dyn Fn(Response) -> endivespur_net::http::LocalFuture<Result<Answer, String>>>;

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

/// Carries out the steps of the core's attempt.
async fn execute(node: &Rc<Node>, call: &Call) -> Result<Response, Failure> {
    let key = order::key(&call.job.request.organisation, &call.key);
    let incarnation = node.incarnation.get();
    let mine = Record::new(&call.job.id, &node.settings.vm, incarnation, call.digest);
    let mut attempt = Attempt::new(mine);
    let mut job = call.job.clone();
    let mut permit: Option<Permit> = None;
    let mut refusal = None;
    let mut steps = VecDeque::from([Step::Read]);
    while let Some(step) = steps.pop_front() {
        let event = match step {
            Step::Read => read_record(node, &key).await,
            Step::ReadBack => {
                sleep(READ_BACK_PAUSE).await;
                read_record(node, &key).await
            }
            Step::Acquire => {
                // The grant of an endpoint that did not run the call is given back first.
                job.avoid
                    .extend(permit.take().map(|permit| permit.endpoint.clone()));
                match dispatch::acquire(node, &job).await {
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
            Step::Dispatch => send(call, permit.as_mut()).await,
            Step::Finish(state, over) => {
                let record = attempt.record().clone().with_state(keep(state));
                finish(node, &key, &record, over).await;
                continue;
            }
            Step::Abandon => {
                abandon(node, &key, attempt.record());
                continue;
            }
            Step::Reply(reply) => return answer(reply, permit.as_ref(), &call.job, refusal),
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

async fn claim(node: &Rc<Node>, key: &str, mine: &Record) -> Event {
    let Ok(lease) = lease(node).await else {
        return Event::ClaimLost;
    };
    let text = serde_json::json!(mine).to_string();
    let claim = Write::new(key, &text)
        .with_expected_revision(0)
        .with_lease(lease);
    match write(node, claim).await {
        Ok(Outcome::Written(revision)) => Event::Claimed(revision),
        Ok(Outcome::Conflict(found)) => Event::Conflict(parse(found)),
        Err(message) => {
            warn!(event = "claim-lost", attempt = mine.attempt.as_str(); "{message}");
            Event::ClaimLost
        }
    }
}

/// Sends the call once, under a claim that stands.
async fn send(call: &Call, permit: Option<&mut Permit>) -> Event {
    let Some(permit) = permit else {
        return Event::NotRun;
    };
    let Ok(request) = (call.make)(permit) else {
        return Event::NotRun;
    };
    match dispatch::send(permit, request, &call.job.id).await {
        Ok(response) => match (call.read)(response).await {
            Ok(answer) => Event::Answered(answer),
            Err(_) => Event::Lost,
        },
        Err(Miss::NotRun(_)) => Event::NotRun,
        Err(Miss::Lost(_)) => Event::Lost,
    }
}

/// Records the outcome; if the store is out, goes on trying in the background.
async fn finish(node: &Rc<Node>, key: &str, record: &Record, over: u64) {
    let text = serde_json::json!(record).to_string();
    let lease = node.ledger.lease.get().map_or(0, |(id, _)| id);
    let done = Write::new(key, &text)
        .with_expected_revision(over)
        .with_lease(lease);
    if write(node, done.clone()).await.is_ok() {
        return;
    }
    let background = node.clone();
    node.spawn(async move {
        while write(&background, done.clone()).await.is_err() {
            sleep(BACKGROUND_RETRY).await;
        }
    });
}

/// Removes a claim that was never dispatched, so that a resend may run.
fn abandon(node: &Rc<Node>, key: &str, mine: &Record) {
    let (node, key, mine) = (node.clone(), key.to_string(), mine.clone());
    node.clone().spawn(async move {
        let mut looks = 0;
        while looks < ABANDON_LOOKS {
            match remove(&node, &key, &mine).await {
                Ok(true) => return,
                Ok(false) => looks += 1,
                Err(_) => {}
            }
            sleep(BACKGROUND_RETRY).await;
        }
    });
}

/// Removes the attempt's own claim; tells whether something stood there.
async fn remove(node: &Node, key: &str, mine: &Record) -> Result<bool, String> {
    let found = node
        .store
        .get(key)
        .await
        .map_err(|error| error.to_string())?;
    let Some((revision, found)) = parse(found) else {
        return Ok(false);
    };
    if found.attempt != mine.attempt {
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

fn answer(
    reply: Reply,
    permit: Option<&Permit>,
    job: &Job,
    refusal: Option<Failure>,
) -> Result<Response, Failure> {
    let not_run = |message| {
        let failure = Failure::not_run(StatusCode::ServiceUnavailable, message);
        failure.with_retry(Duration::from_secs(2))
    };
    match reply {
        Reply::Ran(answer) => {
            let mut response = plain(&answer);
            if let Some(permit) = permit {
                crate::entry::place(&mut response, permit, job);
            }
            Ok(response)
        }
        Reply::Replayed(answer) => {
            let mut response = plain(&answer);
            response.insert_header("endivespur-replayed", "true");
            Ok(response)
        }
        Reply::Running => Err(Failure {
            status: StatusCode::Conflict,
            ..Failure::unknown("the call is still running").with_retry(Duration::from_secs(1))
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

/// Returns the outcome as it is kept; an answer that is too large is replaced by a note.
fn keep(state: State) -> State {
    match state {
        State::Done(answer) => State::Done(kept(&answer)),
        other => other,
    }
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
    response.insert_header("endivespur-outcome", Ran::Ran.name());
    response
}
