//! Calls that run at most once: the records of the ledger and the steps of an attempt.

use serde::{Deserialize, Serialize};

use crate::id::{Revision, Vm};

/// The key prefix of the ledger in the platform's store.
pub const PREFIX: &str = "endivespur-orders/";

/// The maximum number of endpoints that are tried under one claim.
const MAX_TRIES: u32 = 3;
/// The maximum number of reads to find out whether a claim without an answer took effect.
const MAX_READ_BACKS: u32 = 4;

/// An HTTP response kept for callers that send the call again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Answer")]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub media: String,
    /// The body.
    pub body: String,
}

/// The progress of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The call may have been dispatched.
    Claimed,
    /// The call ran and returned this response.
    Done(StoredResponse),
    /// The call was dispatched and its outcome is not known.
    Unknown,
}

/// The record of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The attempt that claimed the key.
    pub attempt: String,
    /// The entry VM of the attempt.
    pub vm: Vm,
    /// The process of the attempt.
    pub incarnation: u64,
    /// The hash of the call, to detect a key that is reused for another call.
    pub digest: u64,
    /// The progress of the call.
    pub state: State,
}

impl Record {
    /// Creates the record with which an attempt claims a key.
    pub fn new(attempt: &str, vm: &str, incarnation: u64, digest: u64) -> Self {
        Self {
            attempt: attempt.to_string(),
            vm: vm.to_string(),
            incarnation,
            digest,
            state: State::Claimed,
        }
    }

    /// Returns the record with another state.
    pub fn with_state(mut self, state: State) -> Self {
        self.state = state;
        self
    }
}

/// How an attempt continues after it found a record under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The claim belongs to this attempt, which dispatches the call once.
    Run,
    /// The call ran before: its stored response is returned.
    Replay(StoredResponse),
    /// Another attempt is in progress.
    Running,
    /// An attempt was dispatched and its outcome is unknown.
    Unknown,
    /// The key was used for another call.
    Mismatch,
}

/// Decides how an attempt continues, given the record found under its key.
///
/// A claim whose answer was lost is read back: if the record holds the id of this
/// attempt, the claim took effect.
pub fn resolve(mine: &Record, found: &Record, is_live: impl Fn(&str, u64) -> bool) -> Resolution {
    if found.attempt == mine.attempt {
        return Resolution::Run;
    }
    if found.digest != mine.digest {
        return Resolution::Mismatch;
    }
    match &found.state {
        State::Done(response) => Resolution::Replay(response.clone()),
        State::Claimed if is_live(&found.vm, found.incarnation) => Resolution::Running,
        State::Claimed | State::Unknown => Resolution::Unknown,
    }
}

/// Returns the ledger's key of an organisation's idempotency key.
pub fn key(organisation: &str, idempotency_key: &str) -> String {
    format!("{PREFIX}{organisation}/{idempotency_key}")
}

/// A record with the store's revision of its last write.
pub type Found = (Revision, Record);

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The store returned the record of the key.
    Read(Option<Found>),
    /// The store did not answer a read.
    ReadFailed,
    /// An endpoint granted the call.
    Granted,
    /// No endpoint granted the call.
    Refused,
    /// The claim took effect at a revision.
    Claimed(Revision),
    /// The key already has another record, or the write was rejected without one.
    Conflict(Option<Found>),
    /// The store did not answer the claim, which may have taken effect.
    ClaimLost,
    /// The endpoint returned a response.
    Responded(StoredResponse),
    /// The call did not reach an endpoint, or the endpoint refused it before running it.
    NotRun,
    /// The call was sent and its response was lost.
    Lost,
}

/// The next step of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reads the record.
    Read,
    /// Acquires a grant, from another endpoint than before if one is left.
    Acquire,
    /// Writes the claim, if the key has no record.
    Claim,
    /// Reads the record again, because the claim's answer was lost.
    ReadBack,
    /// Sends the call to the granted endpoint.
    Dispatch,
    /// Records the outcome, if the record still has the revision of the claim.
    Finish(State, Revision),
    /// Removes the attempt's own claim, which was never dispatched.
    Abandon,
    /// Answers the caller; this is the last step.
    Reply(Reply),
}

/// The final answer of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The call ran.
    Ran(StoredResponse),
    /// The call ran before.
    Replayed(StoredResponse),
    /// Another attempt is in progress.
    Running,
    /// The call may have run.
    Unknown,
    /// The key was used for another call.
    Mismatch,
    /// Nothing was sent, because the ledger is unavailable.
    LedgerUnavailable,
    /// The call did not run, because no endpoint accepted it.
    NoEndpoint,
}

/// The state of one attempt to run a call at most once.
#[derive(Clone, Debug)]
pub struct Attempt {
    mine: Record,
    /// The revision of the claim, 0 until it took effect.
    claim: Revision,
    /// Whether a claim was sent and its answer was lost.
    is_unconfirmed: bool,
    tries: u32,
    read_backs: u32,
}

impl Attempt {
    /// Creates an attempt; its first step is [`Step::Read`].
    pub fn new(mine: Record) -> Self {
        Self {
            mine,
            claim: 0,
            is_unconfirmed: false,
            tries: 0,
            read_backs: 0,
        }
    }

    /// Returns the record with which the attempt claims the key.
    pub fn record(&self) -> &Record {
        &self.mine
    }

    /// Handles an event and returns the steps that follow.
    pub fn on(&mut self, event: Event, is_live: impl Fn(&str, u64) -> bool) -> Vec<Step> {
        match event {
            Event::Read(None) if self.is_unconfirmed => Self::abandon(Reply::LedgerUnavailable),
            Event::Read(None) => vec![Step::Acquire],
            Event::Read(Some(found)) | Event::Conflict(Some(found)) => {
                self.apply_record(&found, is_live)
            }
            Event::Conflict(None) => Self::abandon(Reply::LedgerUnavailable),
            Event::ReadFailed if self.is_unconfirmed && self.read_backs < MAX_READ_BACKS => {
                self.read_back()
            }
            Event::ReadFailed if self.is_unconfirmed => Self::abandon(Reply::LedgerUnavailable),
            Event::ReadFailed => vec![Step::Reply(Reply::LedgerUnavailable)],
            Event::Granted if self.claim > 0 => vec![Step::Dispatch],
            Event::Granted => vec![Step::Claim],
            Event::Refused if self.claim > 0 => Self::abandon(Reply::NoEndpoint),
            Event::Refused => vec![Step::Reply(Reply::NoEndpoint)],
            Event::Claimed(revision) => self.claimed(revision),
            Event::ClaimLost => self.read_back(),
            Event::Responded(response) => vec![
                Step::Finish(State::Done(response.clone()), self.claim),
                Step::Reply(Reply::Ran(response)),
            ],
            Event::Lost => vec![
                Step::Finish(State::Unknown, self.claim),
                Step::Reply(Reply::Unknown),
            ],
            Event::NotRun => self.next_endpoint(),
        }
    }

    fn read_back(&mut self) -> Vec<Step> {
        self.is_unconfirmed = true;
        self.read_backs += 1;
        vec![Step::ReadBack]
    }

    fn claimed(&mut self, revision: Revision) -> Vec<Step> {
        self.claim = revision;
        self.is_unconfirmed = false;
        vec![Step::Dispatch]
    }

    fn apply_record(&mut self, found: &Found, is_live: impl Fn(&str, u64) -> bool) -> Vec<Step> {
        let reply = match resolve(&self.mine, &found.1, is_live) {
            Resolution::Run => return self.claimed(found.0),
            Resolution::Replay(response) => Reply::Replayed(response),
            Resolution::Running => Reply::Running,
            Resolution::Unknown => Reply::Unknown,
            Resolution::Mismatch => Reply::Mismatch,
        };
        vec![Step::Reply(reply)]
    }

    /// Returns the last steps of an attempt that was never dispatched; its claim may still take
    /// effect and has to be removed.
    fn abandon(reply: Reply) -> Vec<Step> {
        vec![Step::Abandon, Step::Reply(reply)]
    }

    fn next_endpoint(&mut self) -> Vec<Step> {
        self.tries += 1;
        if self.tries < MAX_TRIES {
            return vec![Step::Acquire];
        }
        Self::abandon(Reply::NoEndpoint)
    }
}
