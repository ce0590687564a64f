//! A gateway's memory is used up by senders of all kinds, and the right ones give way.

use std::collections::BTreeMap;

use endivespur_core::gateway::budget::{Answer, Budget, Connections, Id, Kind, Limits, WAIT_TIME};

use crate::ms;

const LIMIT: u64 = 1_000_000;

/// Opens a body that has received `bytes` at `now`.
fn body(budget: &mut Budget, now: u64, bytes: u64) -> Id {
    let id = budget.open(ms(now), Kind::Receiving);
    assert_eq!(budget.grow(ms(now), id, bytes), Answer::Granted);
    budget.advance(ms(now), id, bytes);
    id
}

/// Stalled senders must not shut out those that send, however much less they hold.
#[test]
fn grow_beside_stalled_senders() {
    let mut budget = Budget::new(LIMIT);
    let stalled = body(&mut budget, 0, 100_000);
    let trickling = body(&mut budget, 0, 200_000);
    let sending = body(&mut budget, 0, 700_000);
    for now in (100..=3000).step_by(100) {
        budget.advance(ms(now), trickling, 10);
        budget.advance(ms(now), sending, 20_000);
    }
    let answer = budget.grow(ms(3000), sending, 150_000);
    assert_eq!(answer, Answer::After(vec![trickling]));
    budget.close(trickling);
    assert_eq!(budget.grow(ms(3000), sending, 150_000), Answer::Granted);
    let answer = budget.grow(ms(3000), sending, 150_000);
    assert_eq!(answer, Answer::After(vec![stalled]));
}

/// Among those that send, the largest gives way, and the newest of equal ones.
#[test]
fn grow_among_senders() {
    let mut budget = Budget::new(LIMIT);
    let old = body(&mut budget, 0, 300_000);
    let new = body(&mut budget, 1, 300_000);
    let largest = body(&mut budget, 2, 400_000);
    let small = budget.open(ms(3), Kind::Receiving);
    assert_eq!(budget.grow(ms(3), old, 200_000), Answer::Later);
    assert_eq!(budget.grow(ms(3), small, 10_000), Answer::Later);
    for id in [old, new, largest] {
        budget.advance(ms(700), id, 20_000);
    }
    assert_eq!(budget.grow(ms(800), old, 200_000), Answer::Refused);
    assert_eq!(
        budget.grow(ms(800), small, 10_000),
        Answer::After(vec![largest])
    );
    // The room that was asked for is not asked for again.
    assert_eq!(budget.grow(ms(800), small, 10_000), Answer::After(vec![]));
    assert_eq!(budget.grow(ms(800), largest, 1), Answer::Refused);
    budget.close(largest);
    let kept = body(&mut budget, 801, 400_000);
    budget.change(ms(801), kept, Kind::Kept);
    assert_eq!(
        budget.grow(ms(801), small, 10_000),
        Answer::After(vec![new])
    );
}

/// A request that may run, and an answer whose reader reads, must not be given up for bodies that arrive.
#[test]
fn grow_beside_requests_and_answers() {
    let mut budget = Budget::new(LIMIT);
    let kept = body(&mut budget, 0, 400_000);
    budget.change(ms(0), kept, Kind::Kept);
    let answer = body(&mut budget, 0, 600_000);
    budget.change(ms(0), answer, Kind::Sending);
    let small = budget.open(ms(0), Kind::Receiving);
    assert_eq!(budget.grow(ms(100), small, 1), Answer::Later);
    for now in (100..=2000).step_by(100) {
        budget.advance(ms(now), answer, 10_000);
    }
    assert_eq!(budget.grow(ms(2000), small, 1), Answer::Refused);
    assert_eq!(budget.grow(ms(4000), small, 1), Answer::After(vec![answer]));
}

/// The waits of a body must add up over its blocks: each block waiting anew would outlast the time of the body.
#[test]
fn waited_over_blocks() {
    let mut budget = Budget::new(LIMIT);
    let waiting = budget.open(ms(0), Kind::Receiving);
    for round in 0..3 {
        let now = 1000 * round;
        budget.advance(ms(now), waiting, 20_000);
        let free = budget.free();
        let other = body(&mut budget, now, free);
        assert_eq!(budget.grow(ms(now), waiting, 1000), Answer::Later);
        assert_eq!(budget.waited(ms(now + 200), waiting), ms(200 * (round + 1)));
        budget.close(other);
        assert_eq!(budget.grow(ms(now + 200), waiting, 1000), Answer::Granted);
        assert_eq!(budget.waited(ms(now + 900), waiting), ms(200 * (round + 1)));
    }
}

/// A crowd that waits must not use up the processor: ranking all transfers whenever one asks is quadratic.
#[test]
fn grow_of_many_that_wait() {
    const COUNT: u64 = 1000;
    const BLOCK: u64 = 16_384;
    for holders in [1, COUNT / 2, COUNT] {
        let mut budget = Budget::new(holders * BLOCK);
        for _ in 0..holders {
            body(&mut budget, 0, BLOCK);
        }
        let mut waiting: Vec<Id> = (0..COUNT)
            .map(|_| budget.open(ms(0), Kind::Receiving))
            .collect();
        let mut asked = 0;
        // Each asks every 100 ms, spread over that time.
        for now in 0..1500 {
            let (due, rest): (Vec<Id>, Vec<Id>) =
                waiting.into_iter().partition(|id| id % 100 == now % 100);
            waiting = rest;
            for id in due {
                asked += 1;
                match budget.grow(ms(now), id, BLOCK) {
                    Answer::Granted => {}
                    Answer::Refused => budget.close(id),
                    Answer::After(victims) => {
                        for victim in victims {
                            budget.close(victim);
                        }
                        waiting.push(id);
                    }
                    Answer::Later => waiting.push(id),
                }
            }
        }
        // At most one ranking of all in 50 ms, and a few entries for each that asks.
        let bound = 1500 / 50 * (holders + COUNT) + 4 * asked;
        assert!(asked >= COUNT, "{asked} asked");
        assert!(budget.work() <= bound, "{} of {bound}", budget.work());
    }
}

/// In any order of events, no more than the limit is held, the counts agree, and who waits is served once those who
/// were told have given way.
#[test]
fn grow_in_any_order() {
    let mut seed = 7_u64;
    let mut random = |below: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % below
    };
    for _ in 0..200 {
        let mut budget = Budget::new(LIMIT);
        let mut held: BTreeMap<Id, u64> = BTreeMap::new();
        for now in 0..300 {
            let now = ms(now * 20);
            let ids: Vec<Id> = held.keys().copied().collect();
            let one = ids.get(random(ids.len().max(1) as u64) as usize).copied();
            match (random(6), one) {
                (0, _) | (_, None) => {
                    held.insert(budget.open(now, Kind::Receiving), 0);
                }
                (1, Some(id)) => {
                    budget.close(id);
                    held.remove(&id);
                }
                (2, Some(id)) => {
                    budget.change(now, id, [Kind::Kept, Kind::Sending][random(2) as usize]);
                }
                (3, Some(id)) => budget.advance(now, id, random(50_000)),
                (_, Some(id)) => {
                    let bytes = random(200_000);
                    let mut answer = budget.grow(now, id, bytes);
                    let mut asked = now;
                    for _ in 0..4 {
                        if let Answer::After(victims) = &answer {
                            assert!(!victims.contains(&id));
                            for victim in victims {
                                budget.close(*victim);
                                held.remove(victim);
                            }
                        } else if answer != Answer::Later {
                            break;
                        }
                        asked += WAIT_TIME;
                        answer = budget.grow(asked, id, bytes);
                    }
                    assert!(matches!(answer, Answer::Granted | Answer::Refused));
                    if answer == Answer::Granted {
                        *held.entry(id).or_default() += bytes;
                    }
                }
            }
            assert_eq!(budget.held(), held.values().sum::<u64>());
            assert!(budget.held() <= LIMIT);
        }
    }
}

/// Idle connections and stalled requests must give way to new ones, and complete requests must not.
#[test]
fn open_beyond_the_limit() {
    let mut connections = Connections::new(2);
    let (first, closed) = connections.open(ms(0));
    assert!(closed.is_empty());
    let (second, _) = connections.open(ms(1));
    assert!(connections.set_busy(ms(2), first, true));
    let (third, closed) = connections.open(ms(3));
    assert_eq!(closed, [second]);
    assert!(!connections.set_busy(ms(3), second, true));
    connections.set_busy(ms(4), third, true);
    let (fourth, closed) = connections.open(ms(5));
    assert_eq!(closed, [fourth]);
    connections.set_busy(ms(5), first, false);
    connections.set_busy(ms(5), third, false);
    assert!(connections.advance(ms(6), first));
    let (stalled, closed) = connections.open(ms(6));
    assert_eq!(closed, [third]);
    connections.close(stalled);
    connections.set_limit(1);
    let (fifth, closed) = connections.open(ms(7));
    assert_eq!(closed, [first]);
    assert!(connections.set_busy(ms(7), fifth, true));
    assert_eq!(connections.count(), 1);
}

/// Readers without progress must give way to new connections, and those that read in time, or as fast as events come, must
/// not.
#[test]
fn open_beside_readers() {
    let mut connections = Connections::new(5);
    let ids: Vec<Id> = (0..5).map(|_| connections.open(ms(0)).0).collect();
    let [stopped, trickling, reading, paced, resumed] = ids[..] else {
        unreachable!()
    };
    for id in ids {
        connections.set_busy(ms(0), id, true);
    }
    for now in (100..=3000).step_by(100) {
        for id in [stopped, trickling, reading, resumed] {
            connections.begin_write(ms(now), id);
        }
        connections.advance_write(ms(now), trickling, 100, now % 200 == 0);
        connections.advance_write(ms(now), reading, 2000, false);
        if now >= 1500 {
            connections.advance_write(ms(now), resumed, 60_000, false);
        }
        // A few bytes in each event, all of which the socket takes after a while.
        connections.begin_write(ms(now), paced);
        connections.advance_write(ms(now + 50), paced, 10, true);
        connections.catch_up(paced);
    }
    let (new, closed) = connections.open(ms(3090));
    assert_eq!(closed, [stopped]);
    assert!(connections.set_busy(ms(3090), new, true));
    connections.begin_write(ms(3095), trickling);
    let (new, closed) = connections.open(ms(3100));
    assert_eq!(closed, [trickling]);
    assert!(connections.set_busy(ms(3100), new, true));
    let (new, closed) = connections.open(ms(3100));
    assert_eq!(closed, [new]);
    // The next answer over the same connection begins anew.
    connections.set_busy(ms(3500), resumed, true);
    connections.begin_write(ms(3500), resumed);
    connections.set_busy(ms(3520), new, false);
    assert_eq!(connections.open(ms(3600)).1, [reading]);
    assert_eq!(connections.open(ms(4100)).1, [resumed]);
}

/// One body of the maximum size must always fit, on the smallest VM and where the settings name no memory.
#[test]
fn limits_of_the_known_deployments() {
    for (memory, descriptors) in [(Some(120_000_000), Some(3075)), (None, None)] {
        let limits = Limits::new(memory, descriptors);
        assert!(limits.memory >= 5 * (4 << 20), "{limits:?}");
        assert!(
            limits.callers >= 900 && limits.forwards >= 300,
            "{limits:?}"
        );
    }
    let small = Limits::new(Some(16), Some(1));
    assert!(small.memory <= 16 && small.callers == 1, "{small:?}");
}
