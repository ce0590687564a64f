//! Endpoints that fail while they call themselves healthy.

use endivespur_core::gateway::health::Board;

use crate::ms;

#[test]
fn failed_now_and_then() {
    let mut board = Board::new();
    for now in 0..100 {
        board.answered(ms(now * 10), "e", ms(5));
    }
    board.failed(ms(1000), "e");
    board.failed(ms(1001), "e");
    assert!(!board.is_avoided(ms(1002), "e"));
}

#[test]
fn failed_often() {
    let mut board = Board::new();
    for now in 0..10 {
        board.answered(ms(now * 10), "e", ms(5));
        board.failed(ms(now * 10 + 5), "e");
    }
    assert!(board.is_avoided(ms(101), "e"));
    assert!(!board.is_avoided(ms(2000), "e"));
}

#[test]
fn late_behind_a_queue() {
    let mut board = Board::new();
    board.answered(ms(900), "e", ms(5));
    for _ in 0..5 {
        board.late(ms(1000), "e");
    }
    assert!(!board.is_avoided(ms(1001), "e"));
}

#[test]
fn late_without_any_answer() {
    let mut board = Board::new();
    board.answered(ms(100), "e", ms(5));
    for _ in 0..3 {
        board.late(ms(2000), "e");
    }
    assert!(board.is_avoided(ms(2001), "e"));
}

#[test]
fn down_once() {
    let mut board = Board::new();
    board.answered(ms(0), "e", ms(5));
    board.down(ms(10), "e");
    assert!(board.is_avoided(ms(11), "e"));
}
