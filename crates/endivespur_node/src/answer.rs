//! Refusals and failures as HTTP responses to callers.

use std::time::Duration;

use endivespur_core::owner::{self, Refusal};
use endivespur_core::route::Denial;
use endivespur_net::http;
use http_types::{Response, StatusCode};

/// The unit of times to retry of requests over a quota, which have fractions of a second; they are rounded up.
const EXACT_RETRY_UNIT: Duration = Duration::from_millis(10);

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header `Endivespur-Outcome`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused, where its status alone does not say so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The caller is not authorised.
    Unauthorized,
    /// The organisation is over its quota.
    Quota,
    /// The organisation has too many requests in flight at this node.
    InFlight,
}

impl Reason {
    /// Returns its name in the logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Quota => "quota",
            Self::InFlight => "in-flight",
        }
    }
}

/// A refusal or failure, final for the request.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// A short message for the caller.
    pub message: String,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Why the request was refused, for the logs; most refusals have none.
    pub reason: Option<Reason>,
}

impl Failure {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(status: StatusCode, message: &str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            message: message.to_string(),
            retry_after: None,
            reason: None,
        }
    }

    /// Creates a failure of a request that may have run.
    pub fn unknown(message: &str) -> Self {
        Self {
            status: StatusCode::GatewayTimeout,
            outcome: Outcome::Unknown,
            message: message.to_string(),
            retry_after: None,
            reason: None,
        }
    }

    /// Creates the refusal of a request over its organisation's quota.
    pub fn over_quota(retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            reason: Some(Reason::Quota),
            ..Self::not_run(
                StatusCode::TooManyRequests,
                "the organisation is over its quota",
            )
        }
    }

    /// Sets why the request was refused.
    pub fn with_reason(mut self, reason: Reason) -> Self {
        self.reason = Some(reason);
        self
    }

    /// Sets the outcome to unknown if the response to an earlier attempt was lost.
    pub fn after_lost_attempt(mut self, lost: bool) -> Self {
        if lost {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the HTTP response for the caller.
    pub fn to_response(&self) -> Response {
        let mut response = http::refusal(self.status, &self.message);
        response.insert_header("endivespur-outcome", self.outcome.name());
        if let Some(after) = self.retry_after {
            let value = if self.reason == Some(Reason::Quota) {
                let units = after
                    .as_nanos()
                    .div_ceil(EXACT_RETRY_UNIT.as_nanos())
                    .max(1);
                format!("{}.{:02}", units / 100, units % 100)
            } else {
                let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
                seconds.max(1).to_string()
            };
            response.insert_header("retry-after", value);
        }
        if let Some(reason) = self.reason {
            response.ext_mut().insert(reason);
        }
        response
    }
}

impl From<Denial> for Failure {
    fn from(denial: Denial) -> Self {
        let (status, message) = match denial {
            Denial::UnknownOrganisation => (StatusCode::Unauthorized, "unknown organisation"),
            Denial::UnknownModel => (StatusCode::NotFound, "unknown model or service"),
            Denial::UnknownVersion => (StatusCode::NotFound, "unknown or retired version"),
            Denial::Forbidden => (
                StatusCode::Forbidden,
                "the organisation has no right to the adapter",
            ),
            Denial::EntryPlace => (
                StatusCode::MisdirectedRequest,
                "the request may not live in this zone",
            ),
            Denial::NoEndpoint => {
                let message = "no endpoint in the permitted place takes work";
                return Self::not_run(StatusCode::ServiceUnavailable, message)
                    .with_retry_after(Duration::from_secs(2));
            }
        };
        Self::not_run(status, message)
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        let message = match refusal.reason {
            owner::Reason::Deadline => "the request waited too long",
            owner::Reason::Full => "the queue is full",
            owner::Reason::Draining => "the endpoint leaves",
            owner::Reason::LoadFailed => "the adapter could not be loaded",
            owner::Reason::NotOwner => "no node owns the endpoint at the moment",
            owner::Reason::Busy => "each slot is in use",
            owner::Reason::Backlog => "the adapter would come too late",
        };
        Self::not_run(StatusCode::ServiceUnavailable, message).with_retry_after(refusal.retry_after)
    }
}
