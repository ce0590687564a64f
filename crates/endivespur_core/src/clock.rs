//! The time that is passed to the state machines.

use std::time::Duration;

/// A moment, as the time since an origin that the caller of the core chooses.
///
/// The daemon counts from its start on a clock that includes suspension; tests
/// and benches count virtual time.
pub type Time = Duration;

/// The longest duration that is computed from a number: longer than any wait, and short enough that thousands
/// of them can be added.
const MAX: Duration = Duration::from_secs(u32::MAX as u64);

/// Returns a number of seconds as a duration: zero if it is negative or no number, and about 136 years if it is larger.
///
/// The conversions of the standard library panic instead, and such a number may come from outside.
pub fn from_secs(seconds: f64) -> Duration {
    let out_of_range = if seconds > 0.0 { MAX } else { Duration::ZERO };
    Duration::try_from_secs_f64(seconds).map_or(out_of_range, |duration| duration.min(MAX))
}

/// Returns a duration times a factor, within the range of [`from_secs`].
pub fn scale(duration: Duration, factor: f64) -> Duration {
    from_secs(duration.as_secs_f64() * factor)
}

/// Returns the whole milliseconds of a duration for a message, the largest number if there are more.
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
