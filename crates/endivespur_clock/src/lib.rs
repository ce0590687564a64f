//! The daemons' clock, which includes the time for which the machine is suspended.

use std::time::Duration;

use endivespur_core::clock::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including suspension.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// Returns the seconds since the Unix epoch.
pub fn unix_seconds() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
