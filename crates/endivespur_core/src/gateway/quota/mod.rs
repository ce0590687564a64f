//! Quotas of teams, over all gateways together.
//!
//! A team's quota is divided into equal shards. Rendezvous hashing selects for each shard the gateway that keeps it,
//! its [`keeper`], which lends amounts for a short time. The other gateways hold what they have borrowed in a
//! [`wallet`]; a [`tracker`] combines both for all teams. A keeper that may have been replaced without noticing does not lend ([`contact`]). Shards of a lost
//! gateway are not lent until its successor can be sure that nobody else lends them; the other shards suffice. A gateway
//! that restarts goes on with its shards if its [`marker`] still exists.

pub mod contact;
pub mod keeper;
pub mod marker;
pub mod members;
pub mod tracker;
pub mod wallet;

use std::time::Duration;

use crate::gateway::team::{Quota, Unit};
use crate::hash;
use crate::id::Vm;

/// The maximum number of shards. A team that uses 1/1.8 of its quota is not refused while 7 of 16 shards are not lent,
/// which a dozen lost gateways of 84 reach with a probability below 1 in 1,000.
pub const MAX_SHARDS: usize = 16;
/// How long a loan may be used.
pub const VALIDITY: Duration = Duration::from_millis(300);
/// The use for which a gateway borrows ahead; the rest of the validity is for amounts that are used later.
const AHEAD: Duration = Duration::from_millis(200);
/// How long a new keeper of a shard does not lend: a predecessor with an old view may lend for
/// [`contact::MAX_VIEW_AGE`], from a source that may be 1.3 s old, and its last loans are valid for [`VALIDITY`].
/// The rest is the age that a view may have at the end ([`keeper::Keeper::postpone`]).
pub const SETTLE_TIME: Duration = Duration::from_millis(3_200);
/// The part of the permitted excess by which the buckets hold more than the burst, for loans that are not used yet, and for
/// prompts that are larger than the burst of a small team.
const LOAN_SHARE: f64 = 0.5;
/// The part of the permitted excess by which the buckets fill faster in a window.
const FILL_SHARE: f64 = 0.2;
/// The part of the burst by which the buckets fill faster in a window, where the excess lets them still hold the burst. A
/// quota permits its burst in each window, not only after a pause: a team that asked for 1.6 times its lowered rate, which
/// its window permitted, got the rate only, and its largest prompts found too little in each shard.
const BURST_FILL_SHARE: f64 = 0.5;
/// The part of the permitted excess that gateways may use without keepers. The rest covers requests that are sent some
/// time after they were admitted.
const FALLBACK_SHARE: f64 = 0.15;
/// The time of the rate that a bucket holds at least, or no request would find enough.
const MIN_CAPACITY_TIME: Duration = Duration::from_millis(250);
/// The least amount that a shard holds, in requests and in tokens, so that few shards suffice for a request.
const MIN_SHARD: (f64, f64) = (2.0, 2_000.0);
/// The part of the rate that remains at least if the burst is too small for a bucket.
const MIN_RATE_SHARE: f64 = 0.5;

/// What is permitted beyond the quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// The window in which use is counted.
    pub window: Duration,
    /// The share of the quota that may be used in addition in a window.
    pub ratio: f64,
    /// The tokens that may be used in addition in a window.
    pub tokens: f64,
}

/// The figures by which a team's quota is lent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The amount a second by which the buckets of all shards fill.
    pub rate: f64,
    /// The amount that all buckets hold.
    pub capacity: f64,
    /// The amount that all gateways together may use in a window without keepers.
    pub fallback: f64,
    /// The window in which use is counted.
    pub window: Duration,
    /// The number of shards.
    pub shards: usize,
}

impl Terms {
    /// Creates the terms of a quota, such that use in any window stays below the quota and what is permitted beyond.
    pub fn new(quota: &Quota, excess: &Excess) -> Self {
        let window = excess.window.as_secs_f64().max(0.001);
        let (tokens, min_shard) = match quota.unit {
            // The excess is named in tokens, and may be far above a quota in requests.
            Unit::Requests => (0.0, MIN_SHARD.0),
            Unit::Tokens { .. } => (excess.tokens, MIN_SHARD.1),
        };
        let spare = excess.ratio * (quota.rate * window + quota.burst) + tokens;
        let loan_spare = spare * LOAN_SHARE;
        let min_capacity = (quota.rate * MIN_CAPACITY_TIME.as_secs_f64()).max(1.0);
        let permitted = quota.burst + loan_spare;
        let burst_fill = (quota.burst * BURST_FILL_SHARE).min(loan_spare);
        let spare_fill = spare * FILL_SHARE;
        let held = permitted - burst_fill;
        let capacity = held.max(min_capacity);
        // A bucket that holds more than is permitted must fill more slowly.
        let over = capacity - held;
        let fill = if excess.window.is_zero() {
            -over
        } else {
            burst_fill + spare_fill - over
        };
        let rate = (quota.rate + fill / window).max(quota.rate * MIN_RATE_SHARE);
        Self {
            rate,
            capacity,
            fallback: spare * FALLBACK_SHARE,
            window: excess.window,
            shards: ((permitted.max(min_capacity) / min_shard) as usize).clamp(1, MAX_SHARDS),
        }
    }
}

/// Returns the keepers of a team's shards among the known gateways, in the order of the shards.
pub fn keepers<'a>(
    team: &str,
    terms: &Terms,
    gateways: &(impl Iterator<Item = &'a str> + Clone),
) -> Vec<Vm> {
    let keys = (0..terms.shards).map(|shard| format!("quota/{shard}/{team}"));
    let winners = keys.filter_map(|key| hash::winner(&key, gateways.clone()));
    winners.map(str::to_string).collect()
}
