//! The ledger of calls that run at most once.

use serde::{Deserialize, Serialize};

use crate::id::{Organisation, Vm};

/// The key prefix of the ledger in the platform's store.
pub const PREFIX: &str = "endivespur-orders/";

/// An answer kept for later resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub media: String,
    /// The body.
    pub body: String,
}

/// How far a call has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The call may have been dispatched.
    Claimed,
    /// The call ran and this is its answer.
    Done(Answer),
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
    /// The hash of the call, so that a key is not used for another call.
    pub digest: u64,
    /// How far the call has come.
    pub state: State,
}

impl Record {
    /// Makes the record with which an attempt claims a key.
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

/// What an attempt may do once the store has answered its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is this attempt's own: it dispatches, once.
    Run,
    /// The call ran before: its stored answer is returned.
    Replay(Answer),
    /// Another attempt is at work.
    Running,
    /// An attempt was dispatched and nobody knows its outcome.
    Unknown,
    /// The key was used for another call.
    Mismatch,
}

/// Judges the record that stands in the store after a claim by `mine`.
///
/// A claim whose answer was lost is settled by reading back: the attempt's own nonce
/// says that the claim took effect.
pub fn judge(mine: &Record, found: &Record, is_live: impl Fn(&str, u64) -> bool) -> Verdict {
    if found.attempt == mine.attempt {
        return Verdict::Run;
    }
    if found.digest != mine.digest {
        return Verdict::Mismatch;
    }
    match &found.state {
        State::Done(answer) => Verdict::Replay(answer.clone()),
        State::Claimed if is_live(&found.vm, found.incarnation) => Verdict::Running,
        State::Claimed | State::Unknown => Verdict::Unknown,
    }
}

/// Returns the ledger's key of an organisation's idempotency key.
pub fn key(organisation: &Organisation, idempotency_key: &str) -> String {
    format!("{PREFIX}{organisation}/{idempotency_key}")
}
