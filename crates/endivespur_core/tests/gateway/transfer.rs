//! Large values are received in pieces from gateways that fail, restart or have packed them differently.

use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::gateway::transfer::{Allowance, PIECE_BYTES, Packed, Transfer};
use endivespur_core::hash;

/// The bytes a second of a link with 10 Mbit/s.
const LINK_RATE: u64 = 1_250_000;

fn packed(bytes: &[u8], revision: u64) -> Packed {
    Packed {
        revision,
        base: 0,
        digest: hash::digest(&[bytes]),
        size: bytes.len(),
    }
}

#[test]
fn add_pieces_of_several_senders() {
    let bytes = b"abcdef";
    let mut transfer = Transfer::new();
    assert_eq!(transfer.add(packed(bytes, 3), b"abcd"), None);
    assert_eq!(transfer.offset(), 4);
    let complete = transfer.add(packed(bytes, 3), b"ef");
    assert_eq!(complete, Some((packed(bytes, 3), bytes.to_vec())));
}

/// The pieces of two versions would make up a value that nobody wrote.
#[test]
fn add_piece_of_a_newer_value() {
    let mut transfer = Transfer::new();
    assert_eq!(transfer.add(packed(b"abcdef", 3), b"abcd"), None);
    assert_eq!(transfer.add(packed(b"ghijkl", 4), b"kl"), None);
    assert_eq!(transfer.offset(), 0);
    let complete = transfer.add(packed(b"ghijkl", 4), b"ghijkl");
    assert_eq!(complete.map(|(_, bytes)| bytes), Some(b"ghijkl".to_vec()));
}

#[test]
fn add_damaged_piece() {
    let mut transfer = Transfer::new();
    assert_eq!(transfer.add(packed(b"abcdef", 3), b"abcdeX"), None);
    assert_eq!(transfer.offset(), 0);
}

/// Ninety gateways ask one at the same time: what it sends in a second is bounded by half of its link.
#[test]
fn reserve_for_many_receivers() {
    let mut allowance = Allowance::new(LINK_RATE);
    let mut sent = 0;
    for step in 0..100 {
        let now = Time::ZERO + Duration::from_millis(10 * step);
        for _ in 0..90 {
            if let Ok(delay) = allowance.reserve(now, PIECE_BYTES)
                && now + delay <= Time::ZERO + Duration::from_secs(1)
            {
                sent += PIECE_BYTES;
            }
        }
    }
    assert!(sent <= LINK_RATE as usize / 2 + (80 << 10), "{sent} bytes");
    assert!(sent >= LINK_RATE as usize / 2, "{sent} bytes");
}

#[test]
fn reserve_after_a_pause() {
    let mut allowance = Allowance::new(LINK_RATE);
    while allowance.reserve(Time::ZERO, PIECE_BYTES).is_ok() {}
    let wait = allowance.reserve(Time::ZERO, PIECE_BYTES).unwrap_err();
    assert!(!wait.is_zero());
    assert!(allowance.reserve(Time::ZERO + wait, PIECE_BYTES).is_ok());
}
