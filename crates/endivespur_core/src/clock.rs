//! The time that is passed to the state machines.

use std::time::Duration;

/// A moment, as the time since an origin that the caller of the core chooses.
///
/// The daemon counts from its start on a clock that includes suspension; tests
/// and benches count virtual time.
pub type Time = Duration;
