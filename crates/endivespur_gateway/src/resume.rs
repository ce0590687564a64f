//! Lets a stream be resumed only by the software version that began it.
//!
//! Callers name the attempt that brought the first event, but may send it to any gateway: one that does not know the
//! stream asks all others. If none knows it, it goes on only if the store confirms that there is one version.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::stream::{self, Key, Origin};
use futures_util::future::join_all;
use log::info;
use smol::Timer;

use crate::exchange::{Call, Outcome};
use crate::state::State;
use crate::stream::other_gateways;
use crate::{confirm, peer};

/// The time in which lookups are collected: callers resume the streams of a crashed engine at once.
const LOOKUP_DELAY: Duration = Duration::from_millis(5);
/// The delay after which a caller may retry a stream that cannot be resumed. Only a new stream helps it.
const RETRY_AFTER: Duration = Duration::from_mins(2);
/// The delay after which a caller may retry at another gateway, or at this one if it reaches the store again.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Restricts a request that resumes a stream to the service and the software version that began it.
///
/// # Errors
///
/// Returns the refusal if they are not known, or no engine of that version is registered.
pub async fn pin(state: &Rc<State>, call: &mut Call) -> Result<(), Outcome> {
    if !call.fields.is_resumption || !call.route.retry_policy.is_stream() {
        return Ok(());
    }
    let located = match &call.fields.resumes {
        Some(attempt) => locate(state, stream::key(attempt)).await,
        None => Located::Nowhere,
    };
    let origin = match located {
        Located::Known(origin) => Some(origin),
        Located::Unresolved => return Err(refuse_unresolved(call)),
        Located::Nowhere => sole_origin(state, call).await?,
    };
    let origin = origin.filter(|origin| {
        let mut targets = call.route.targets.iter();
        targets.any(|target| target.service == origin.service)
    });
    let fields = &call.fields;
    info!(
        event = "resumption", request = fields.attempt_id.as_str(), resumes:? = fields.resumes,
        last_event:? = fields.last_event_id,
        software:? = origin.as_ref().map(|origin| origin.software.as_str()); "stream to be resumed"
    );
    let Some(origin) = origin else {
        return Err(Outcome::refused("stream-unknown", RETRY_AFTER));
    };
    let engines = state.catalog.borrow().serving(&origin.service);
    if !engines
        .iter()
        .any(|engine| engine.software == origin.software)
    {
        return Err(Outcome::refused("no-engine-of-version", RETRY_AFTER));
    }
    call.service = origin.service;
    call.software = Some(origin.software);
    Ok(())
}

/// What the gateways know of a stream.
enum Located {
    /// Where it began.
    Known(Origin),
    /// One of them knows it, but not the version that began it.
    Unresolved,
    /// None of them knows it.
    Nowhere,
}

/// Refuses a stream that an engine began whose registration is not known, or not any more. It may come in a moment.
fn refuse_unresolved(call: &Call) -> Outcome {
    let fields = &call.fields;
    info!(
        event = "resumption", request = fields.attempt_id.as_str(), resumes:? = fields.resumes,
        last_event:? = fields.last_event_id, software = "unresolved"; "stream of an unknown version"
    );
    Outcome::refused("stream-unresolved", RECONNECT_DELAY)
}

/// Returns the origin of a stream that no gateway knows, or whose caller does not name the attempt that began it: it
/// is known if the route has only one service, and that only one software version.
///
/// # Errors
///
/// Returns the refusal if this gateway cannot tell, since it does not know which versions there are now.
async fn sole_origin(state: &Rc<State>, call: &Call) -> Result<Option<Origin>, Outcome> {
    if call.route.targets.len() > 1 || sole_known_origin(state, call).is_none() {
        return Ok(None);
    }
    if !confirm::confirm(state).await {
        return Err(Outcome::refused("versions-unconfirmed", RECONNECT_DELAY));
    }
    Ok(sole_known_origin(state, call))
}

/// As above, by what this gateway knows.
fn sole_known_origin(state: &State, call: &Call) -> Option<Origin> {
    let catalog = state.catalog.borrow();
    let engines = catalog.endpoints();
    let current = engines
        .filter(|engine| engine.service == call.service)
        .map(|engine| engine.software.clone());
    let mut tracker = state.streams.tracker.borrow_mut();
    let software = tracker.sole_software(clock::now(), &call.service, current.collect())?;
    Some(Origin::new(&call.service, &software))
}

/// Returns the origin of a stream; asks the other gateways if this one does not know it.
async fn locate(state: &Rc<State>, key: Key) -> Located {
    let streams = &state.streams;
    let origin = || {
        let mut tracker = streams.tracker.borrow_mut();
        tracker.origin(clock::now(), key).cloned()
    };
    if let Some(origin) = origin() {
        return Located::Known(origin);
    }
    if streams.lookups.borrow_mut().insert(key) {
        streams.queued.borrow_mut().push(key);
        if streams.queued.borrow().len() == 1 {
            state.spawn(look_up(state.clone()));
        }
    }
    loop {
        let listener = streams.located.listen();
        if let Some(origin) = origin() {
            return Located::Known(origin);
        }
        if !streams.lookups.borrow().contains(&key) {
            let mut tracker = streams.tracker.borrow_mut();
            return if tracker.is_unresolved(clock::now(), key) {
                Located::Unresolved
            } else {
                Located::Nowhere
            };
        }
        listener.await;
    }
}

/// Asks the other gateways for the origins of streams.
async fn look_up(state: Rc<State>) {
    Timer::after(LOOKUP_DELAY).await;
    let streams = &state.streams;
    let keys = streams.queued.take();
    let asked = other_gateways(&state)
        .into_iter()
        .map(async |(_, address)| {
            let Ok(batch) = peer::locate_streams(&state, address, &keys).await else {
                return;
            };
            let mut tracker = streams.tracker.borrow_mut();
            for (origin, keys) in batch {
                for key in keys {
                    if origin.is_known() {
                        tracker.resumed(clock::now(), key, origin.clone());
                    } else {
                        tracker.known_unresolved(clock::now(), key);
                    }
                }
            }
            drop(tracker);
            streams.located.notify(usize::MAX);
            streams.began.notify(usize::MAX);
        });
    join_all(asked).await;
    for key in &keys {
        streams.lookups.borrow_mut().remove(key);
    }
    streams.located.notify(usize::MAX);
}
