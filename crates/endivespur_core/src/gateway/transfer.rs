//! Large values, which gateways send each other packed and in pieces.

use std::time::Duration;

use crate::clock::{self, Time};
use crate::hash;

/// The maximum size of a piece in bytes: at 10 Mbit/s, a VM sends one in 13 ms, which calls on other connections
/// have to wait for.
pub const PIECE_BYTES: usize = 16 << 10;
/// The share of a link that may carry pieces. The other half is for callers' requests and calls between gateways.
const LINK_SHARE: f64 = 0.5;
/// The bytes that an idle sender may send at once.
const BURST_BYTES: f64 = 64.0 * 1024.0;
/// The maximum delay of a piece at the sender, above which the receiver should ask another gateway.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// A packed value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packed {
    /// The revision of the value.
    pub revision: u64,
    /// The revision of the value that it is packed against; 0 for none.
    pub base: u64,
    /// The hash of the packed bytes.
    pub digest: u64,
    /// The number of packed bytes.
    pub size: usize,
}

/// A value that is being received. Pieces are kept when a call fails, and any gateway that has packed the value in
/// the same way can send the others.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    packed: Option<Packed>,
    bytes: Vec<u8>,
}

impl Transfer {
    /// Creates a transfer of which nothing has been received.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next piece.
    pub fn offset(&self) -> usize {
        self.bytes.len()
    }

    /// Adds the piece at the current offset; returns the packed bytes once they are complete.
    ///
    /// A piece of a value that was packed in another way starts the transfer again.
    pub fn add(&mut self, packed: Packed, piece: &[u8]) -> Option<(Packed, Vec<u8>)> {
        if self.packed != Some(packed) {
            let is_first = self.bytes.is_empty();
            self.bytes.clear();
            self.packed = Some(packed);
            if !is_first {
                return None;
            }
        }
        self.bytes.extend_from_slice(piece);
        if self.bytes.len() < packed.size {
            return None;
        }
        let bytes = std::mem::take(&mut self.bytes);
        self.packed = None;
        let is_intact = bytes.len() == packed.size && hash::digest(&[&bytes]) == packed.digest;
        is_intact.then_some((packed, bytes))
    }
}

/// Limits the bytes of pieces that a gateway sends, however many others ask for them.
#[derive(Clone, Debug)]
pub struct Allowance {
    bytes_per_s: f64,
    /// When all pieces that were sent so far have passed the permitted share of the link.
    free_at: Time,
}

impl Allowance {
    /// Creates the allowance of an idle gateway, given the bytes a second that its link carries.
    pub fn new(link_rate: u64) -> Self {
        Self {
            bytes_per_s: link_rate.max(1) as f64 * LINK_SHARE,
            free_at: Time::ZERO,
        }
    }

    /// Reserves a piece.
    ///
    /// Returns the delay after which it may be sent.
    ///
    /// # Errors
    ///
    /// Returns the time until a piece can be reserved if the delay would be too long.
    pub fn reserve(&mut self, now: Time, bytes: usize) -> Result<Duration, Duration> {
        let time = |bytes: f64| clock::from_secs(bytes / self.bytes_per_s);
        let burst = time(BURST_BYTES);
        let delay = self.free_at.saturating_sub(now + burst);
        if delay > MAX_DELAY {
            return Err(delay.saturating_sub(MAX_DELAY));
        }
        self.free_at = self.free_at.max(now) + time(bytes as f64);
        Ok(delay)
    }
}
