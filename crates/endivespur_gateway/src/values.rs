//! Sends large values to other gateways, packed against the ones that they have.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::{Feed, Item};
use endivespur_core::gateway::transfer::{Allowance, PIECE_BYTES, Packed};
use endivespur_core::hash;
use log::{info, warn};
use smol::Timer;

use crate::{pack, telemetry};

/// The number of earlier values of a key that are kept to pack its value against.
const MAX_EARLIER: usize = 4;

/// A revision and the value at it.
type Versioned = (u64, Rc<[u8]>);
/// The packed form of a value.
type Pack = (Packed, Rc<[u8]>);

/// The earlier values of the keys whose values are large, and what has been packed.
pub struct Values {
    earlier: RefCell<BTreeMap<String, VecDeque<Versioned>>>,
    /// The packed current values, by key and by the revision of the value that the receivers have.
    packed: RefCell<BTreeMap<(String, u64), Pack>>,
    allowance: RefCell<Allowance>,
}

/// The answer to a request for a piece.
pub enum Answer {
    /// A piece of the packed value.
    Piece(Packed, Vec<u8>),
    /// Enough has been sent; the time until more can be requested.
    Busy(Duration),
    /// The value is not known here.
    Missing,
}

impl Values {
    /// Creates an empty collection, given the bytes a second that the link of this VM carries.
    pub fn new(link_rate: u64) -> Self {
        Self {
            earlier: RefCell::default(),
            packed: RefCell::default(),
            allowance: RefCell::new(Allowance::new(link_rate)),
        }
    }

    /// Keeps a value that is about to be replaced by a large one.
    pub fn replaced(&self, key: &str, revision: u64, value: &[u8]) {
        let mut earlier = self.earlier.borrow_mut();
        let values = earlier.entry(key.to_string()).or_default();
        values.push_back((revision, value.into()));
        if values.len() > MAX_EARLIER {
            values.pop_front();
        }
        self.packed.borrow_mut().retain(|(of, _), _| of != key);
    }

    fn earlier(&self, key: &str, revision: u64) -> Option<Rc<[u8]>> {
        let earlier = self.earlier.borrow();
        let values = earlier.get(key)?.iter();
        let mut values = values.filter(|(at, _)| *at == revision);
        values.next().map(|(_, value)| value.clone())
    }

    /// Returns the piece of a packed value that begins at an offset, when the permitted rate allows it. The receiver
    /// needs the value at a revision at least, and has the one at the revision `base`.
    pub async fn piece(
        &self,
        feed: &RefCell<Feed>,
        key: &str,
        revision: u64,
        base: u64,
        offset: usize,
    ) -> Answer {
        let pack = {
            let feed = feed.borrow();
            let item = feed.get(key).filter(|item| item.revision >= revision);
            item.and_then(|item| self.pack(item, base))
        };
        let Some((packed, bytes)) = pack else {
            return Answer::Missing;
        };
        let offset = offset.min(bytes.len());
        let end = bytes.len().min(offset + PIECE_BYTES);
        let reserved = {
            let mut allowance = self.allowance.borrow_mut();
            allowance.reserve(clock::now(), end - offset)
        };
        match reserved {
            Ok(delay) => {
                Timer::after(delay).await;
                telemetry::value_sent(end - offset);
                Answer::Piece(packed, bytes[offset..end].to_vec())
            }
            Err(wait) => Answer::Busy(wait),
        }
    }

    /// Packs the value of a key against that at the revision `base`, or by itself if that is not known here.
    fn pack(&self, item: &Item, base: u64) -> Option<Pack> {
        let key = item.key.as_str();
        let value = item.value.as_deref()?;
        let earlier = self.earlier(key, base);
        let base = if earlier.is_some() { base } else { 0 };
        let entry = (key.to_string(), base);
        let known = self.packed.borrow().get(&entry).cloned();
        if let Some((packed, bytes)) = known
            && packed.revision == item.revision
        {
            return Some((packed, bytes));
        }
        let started = clock::now();
        let bytes = pack::pack(earlier.as_deref().unwrap_or_default(), value)
            .inspect_err(|error| warn!(event = "large-value", key; "not packed: {error}"))
            .ok()?;
        let packed = Packed {
            revision: item.revision,
            base,
            digest: hash::digest(&[&bytes]),
            size: bytes.len(),
        };
        let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
        info!(
            event = "large-value", key, revision = packed.revision, base, bytes = value.len(),
            packed_bytes = packed.size, took_ms; "packed"
        );
        let bytes: Rc<[u8]> = bytes.into();
        self.packed
            .borrow_mut()
            .insert(entry, (packed, bytes.clone()));
        Some((packed, bytes))
    }
}
