//! Reads the bodies of callers' requests, and bounds the memory that all of them take.

use std::io;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use endivespur_net::body;
use http_types::{Request, StatusCode};
use smol::future::FutureExt;

use crate::answer::Failure;
use crate::node::Node;

/// The delay after which a caller retries when there is no memory for its body: requests end within seconds.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A part of the memory for all bodies, which is released when dropped.
pub struct Held {
    node: Rc<Node>,
    bytes: usize,
}

impl Held {
    fn new(node: &Rc<Node>) -> Self {
        Self {
            node: node.clone(),
            bytes: 0,
        }
    }

    /// Takes more memory.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `OutOfMemory` if too much is held.
    fn grow(&mut self, bytes: usize) -> io::Result<()> {
        let held = &self.node.body_bytes;
        let sum = held.get() + bytes;
        let limits = &self.node.settings.limits;
        // A body of the maximum size always fits, also where settings of an older release permit larger ones.
        if sum > limits.bodies.max(limits.body) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        held.set(sum);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = &self.node.body_bytes;
        held.set(held.get() - self.bytes);
    }
}

/// The body of a request, with its part of the memory for all bodies.
pub struct Body {
    bytes: Vec<u8>,
    held: Held,
}

impl Body {
    /// Returns the part of the memory, for the form in which the body is kept instead.
    pub fn into_held(self) -> Held {
        self.held
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a request's body within the limits of the settings.
///
/// # Errors
///
/// Returns a refusal for a body that is too large, too slow or truncated, or if the bodies of all requests take too much
/// memory.
pub async fn read(node: &Rc<Node>, request: &mut Request) -> Result<Body, Failure> {
    let limits = &node.settings.limits;
    let too_large = || Failure::not_run(StatusCode::PayloadTooLarge, "the body is too large");
    if request.len().is_some_and(|len| len > limits.body) {
        return Err(too_large());
    }
    let mut content = request.take_body();
    let timeout = async {
        smol::Timer::after(limits.read).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let mut held = Held::new(node);
    let read = body::read_held(&mut content, limits.body, |bytes| held.grow(bytes));
    let read = read.or(timeout).await;
    match read.map_err(|error| error.kind()) {
        Ok(bytes) => Ok(Body { bytes, held }),
        Err(io::ErrorKind::TimedOut) => Err(Failure::not_run(
            StatusCode::RequestTimeout,
            "the body came too slowly",
        )),
        Err(io::ErrorKind::OutOfMemory) => {
            metrics::counter!("endivespur_bodies_refused_total").increment(1);
            let message = "the bodies of other requests take all the memory for them";
            let failure = Failure::not_run(StatusCode::ServiceUnavailable, message);
            Err(failure.with_retry_after(RETRY_AFTER))
        }
        Err(io::ErrorKind::Other) => Err(too_large()),
        Err(_) => Err(Failure::not_run(
            StatusCode::BadRequest,
            "the body was cut off",
        )),
    }
}
