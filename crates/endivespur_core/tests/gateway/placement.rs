//! Adapters on an engine: slots in use, orders that are lost or late, consecutive loads.

use std::time::Duration;

use assert_matches::assert_matches;
use endivespur_core::clock::Time;
use endivespur_core::gateway::choice;
use endivespur_core::gateway::placement::{
    Action, Answer, Decision, Engine, Order, Report, Request, Step,
};
use endivespur_core::gateway::prefix::Part;

use crate::{answer, class, engine, grant, ms, order, report, request, weights};

#[test]
fn step_before_the_report() {
    let mut engine = endivespur_core::gateway::placement::Engine::new(ms(0), &crate::class(2));
    assert_eq!(engine.request(ms(0), &request("a")), Decision::Wait);
    assert_eq!(engine.step(ms(0)), Step::Report);
}

#[test]
fn step_without_base() {
    let mut engine = engine(2, &[]);
    engine.reconcile(ms(0), &Report::default());
    let order = order(&mut engine, ms(0));
    assert_eq!(order.weights, weights(""));
    assert_eq!(order.action, Action::Load);
}

/// A new engine takes seconds to load its base model; requests must not wait for it.
#[test]
fn delay_without_base() {
    let mut engine = engine(2, &[]);
    engine.reconcile(ms(0), &Report::default());
    assert!(engine.delay(ms(0), &weights("a")) > ms(3800));
    answer(&mut engine, ms(0), Answer::Accepted);
    assert!(engine.delay(ms(3000), &weights("a")) < ms(1500));
    let mut limited = request("a");
    limited.max_delay = Some(ms(500));
    assert_matches!(engine.request(ms(0), &limited), Decision::Busy(_));
}

#[test]
fn step_slots_in_use() {
    let mut engine = engine(2, &["a", "b"]);
    let first = grant(&mut engine, ms(0), "a");
    grant(&mut engine, ms(0), "b");
    engine.add_waiter(ms(1), &request("c"));
    assert_matches!(engine.step(ms(1)), Step::Sleep(_));
    engine.release(&weights("a"), first);
    let unload = answer(&mut engine, ms(2), Answer::AlreadyApplied);
    assert_eq!(
        (unload.action, unload.weights),
        (Action::Unload, weights("a"))
    );
    let load = order(&mut engine, ms(2));
    assert_eq!((load.action, load.weights), (Action::Load, weights("c")));
}

#[test]
fn step_never_more_than_the_slots() {
    let mut engine = engine(2, &[]);
    for adapter in ["a", "b", "c", "d"] {
        engine.add_waiter(ms(0), &request(adapter));
    }
    for now in 0..2000 {
        if let Step::Order(order) = engine.step(ms(now)) {
            let reply = if now % 300 < 250 {
                Answer::Accepted
            } else {
                Answer::AlreadyApplied
            };
            engine.record_answer(ms(now), &order, reply);
        }
        assert!(engine.used_slots() <= 2);
    }
}

#[test]
fn step_least_popular_is_unloaded() {
    let mut engine = engine(2, &["a", "b"]);
    for now in 0..3 {
        let used = grant(&mut engine, ms(now), "b");
        engine.release(&weights("b"), used);
    }
    let used = grant(&mut engine, ms(5), "a");
    engine.release(&weights("a"), used);
    engine.add_waiter(ms(6), &request("c"));
    assert_eq!(order(&mut engine, ms(6)).weights, weights("a"));
}

#[test]
fn record_answer_load_is_checked_twice() {
    let mut engine = engine(2, &[]);
    engine.add_waiter(ms(0), &request("a"));
    let load = answer(&mut engine, ms(0), Answer::Accepted);
    assert_eq!(load.expected, 0);
    assert_matches!(engine.step(ms(1)), Step::Sleep(Some(_)));
    // Still loading: the engine accepts the order again without counting it.
    let check = answer(&mut engine, ms(30), Answer::Accepted);
    assert_eq!((check.expected, check.weights), (1, weights("a")));
    assert!(!engine.is_ready(&weights("a")));
    let check = answer(&mut engine, ms(260), Answer::AlreadyApplied);
    assert_eq!(check.expected, 1);
    assert!(engine.is_ready(&weights("a")));
}

#[test]
fn record_answer_lost_is_repeated_unchanged() {
    let mut engine = engine(2, &[]);
    engine.add_waiter(ms(0), &request("a"));
    let lost = answer(&mut engine, ms(0), Answer::NoResponse);
    let again = order(&mut engine, ms(250));
    assert_eq!(lost, again);
}

/// An earlier load without a response may be carried out between an order and its repetition. If
/// the owner treated the conflict as acceptance of the order, it would fill one slot too many.
#[test]
fn record_answer_conflict_after_a_lost_order() {
    let mut engine = engine(2, &["x"]);
    engine.add_waiter(ms(0), &request("a"));
    answer(&mut engine, ms(0), Answer::NoResponse);
    answer(&mut engine, ms(250), Answer::NoResponse);
    engine.remove_waiter(&request("a"));
    engine.reconcile(ms(600), &report(&[("x", 1)], 0));
    engine.add_waiter(ms(600), &request("b"));
    answer(&mut engine, ms(600), Answer::NoResponse);
    answer(&mut engine, ms(850), Answer::Conflict);
    for now in 850..1140 {
        assert_matches!(engine.step(ms(now)), Step::Sleep(Some(_)));
    }
    assert_eq!(engine.step(ms(1200)), Step::Report);
    engine.reconcile(ms(1200), &report(&[("x", 1), ("a", 1)], 1));
    let order = order(&mut engine, ms(1200));
    assert_eq!((order.action, order.expected), (Action::Unload, 1));
}

#[test]
fn record_answer_lost_twice_reads_the_report() {
    let mut engine = engine(2, &[]);
    engine.add_waiter(ms(0), &request("a"));
    answer(&mut engine, ms(0), Answer::NoResponse);
    answer(&mut engine, ms(250), Answer::NoResponse);
    assert_matches!(engine.step(ms(500)), Step::Sleep(Some(_)));
    assert_eq!(engine.step(ms(900)), Step::Report);
}

#[test]
fn record_answer_conflict_reads_the_report() {
    let mut engine = engine(2, &[]);
    engine.add_waiter(ms(0), &request("a"));
    answer(&mut engine, ms(0), Answer::Conflict);
    assert_eq!(engine.step(ms(400)), Step::Report);
    engine.reconcile(ms(400), &report(&[("x", 1), ("y", 1)], 7));
    let order = order(&mut engine, ms(400));
    assert_eq!((order.action, order.expected), (Action::Unload, 7));
}

/// After a takeover the owner does not know which adapters are in use. An unload that waits for
/// running requests, for seconds in the worst case, must not block further loads.
#[test]
fn record_answer_unload_waits_for_its_requests() {
    let mut engine = engine(2, &["a", "b"]);
    engine.add_waiter(ms(0), &request("c"));
    let first = answer(&mut engine, ms(0), Answer::Accepted);
    assert_eq!(first.action, Action::Unload);
    let second = answer(&mut engine, ms(5), Answer::AlreadyApplied);
    assert_eq!((second.action, second.expected), (Action::Unload, 1));
    assert_ne!(first.weights, second.weights);
    let load = answer(&mut engine, ms(10), Answer::Accepted);
    assert_eq!((load.action, load.weights), (Action::Load, weights("c")));
}

#[test]
fn reconcile_unload_is_done() {
    let mut engine = engine(1, &["a"]);
    engine.add_waiter(ms(0), &request("c"));
    answer(&mut engine, ms(0), Answer::Accepted);
    assert_matches!(engine.step(ms(10)), Step::Sleep(Some(_)));
    assert_eq!(engine.step(ms(310)), Step::Report);
    engine.reconcile(ms(310), &report(&[("a", 1)], 1));
    assert_matches!(engine.step(ms(320)), Step::Sleep(Some(_)));
    assert_eq!(engine.step(ms(620)), Step::Report);
    engine.reconcile(ms(620), &report(&[], 1));
    let load = order(&mut engine, ms(620));
    assert_eq!((load.action, load.expected), (Action::Load, 1));
}

/// The report is older than the latest order, so that only its finished unloads are applied.
#[test]
fn reconcile_unload_during_a_load() {
    let mut engine = engine(2, &["a", "b"]);
    engine.add_waiter(ms(0), &request("c"));
    answer(&mut engine, ms(0), Answer::Accepted);
    answer(&mut engine, ms(5), Answer::AlreadyApplied);
    answer(&mut engine, ms(10), Answer::Accepted);
    answer(&mut engine, ms(270), Answer::AlreadyApplied);
    engine.remove_waiter(&request("c"));
    assert_eq!(engine.step(ms(310)), Step::Report);
    engine.reconcile(ms(310), &report(&[("a", 1), ("b", 1)], 1));
    grant(&mut engine, ms(311), "c");
}

/// Returns an engine whose two slots are in use: "a" waits to be unloaded since 0 ms, and "c", which was
/// loaded by the third order, since 50 ms.
fn unloading_after_a_load() -> Engine {
    let mut engine = engine(2, &["a", "b"]);
    engine.add_waiter(ms(0), &request("c"));
    answer(&mut engine, ms(0), Answer::Accepted);
    answer(&mut engine, ms(5), Answer::AlreadyApplied);
    answer(&mut engine, ms(10), Answer::Accepted);
    answer(&mut engine, ms(40), Answer::AlreadyApplied);
    engine.remove_waiter(&request("c"));
    engine.add_waiter(ms(50), &request("d"));
    let unload = answer(&mut engine, ms(50), Answer::Accepted);
    assert_eq!(
        (unload.action, unload.weights),
        (Action::Unload, weights("c"))
    );
    assert_eq!(engine.step(ms(310)), Step::Report);
    engine
}

/// The unload of "c" waits for a run whose caller has left. A report that is due for the earlier unload of "a"
/// dates from before "c" was loaded and does not list it: the engine would be overloaded if its slot counted as free.
#[test]
fn reconcile_report_from_before_a_load() {
    let mut engine = unloading_after_a_load();
    engine.reconcile(ms(310), &report(&[("a", 1), ("b", 1)], 1));
    assert_eq!(engine.used_slots(), 2);
    assert_matches!(engine.step(ms(311)), Step::Sleep(Some(_)));
}

/// As above, with a report from when "c" was being loaded.
#[test]
fn reconcile_report_from_during_a_load() {
    let mut engine = unloading_after_a_load();
    let mut report = report(&[("a", 1)], 3);
    report.loading.insert(weights("c"), 1);
    engine.reconcile(ms(310), &report);
    assert_eq!(engine.used_slots(), 2);
    assert_matches!(engine.step(ms(311)), Step::Sleep(Some(_)));
}

/// A report that counts the load and lists the adapter no more frees the slot, however old it is.
#[test]
fn reconcile_report_from_after_an_unload() {
    let mut engine = unloading_after_a_load();
    engine.reconcile(ms(310), &report(&[("a", 1)], 4));
    assert_eq!(engine.used_slots(), 1);
    assert_eq!(order(&mut engine, ms(311)).weights, weights("d"));
}

/// A new owner's first report dates from before the last load of the previous one, and "a" was being unloaded: the
/// engine answers a second unload without counting it. If the owner counted it, its count would equal the engine's, and
/// its next load would overload the engine.
#[test]
fn record_answer_unload_that_was_accepted_before() {
    let mut engine = engine(2, &[]);
    engine.reconcile(ms(0), &report(&[("a", 1), ("b", 1)], 3));
    engine.add_waiter(ms(0), &request("c"));
    let unload = answer(&mut engine, ms(0), Answer::AlreadyApplied);
    assert_eq!((unload.action, unload.expected), (Action::Unload, 3));
    assert_matches!(engine.step(ms(1)), Step::Sleep(Some(_)));
    assert_eq!(engine.step(ms(300)), Step::Report);
    engine.reconcile(ms(300), &report(&[("b", 1), ("z", 1)], 4));
    assert_eq!(engine.used_slots(), 2);
}

/// As above, and the unload waits for a run of the previous owner: another adapter is unloaded meanwhile.
#[test]
fn record_answer_unload_that_waits_after_a_takeover() {
    let mut engine = engine(2, &[]);
    let held = report(&[("a", 1), ("b", 1)], 3);
    engine.reconcile(ms(0), &held);
    engine.add_waiter(ms(0), &request("c"));
    let first = answer(&mut engine, ms(0), Answer::Accepted);
    assert_eq!(engine.step(ms(300)), Step::Report);
    engine.reconcile(ms(300), &report(&[("a", 1), ("b", 1)], 4));
    let second = order(&mut engine, ms(300));
    assert_eq!((second.action, second.expected), (Action::Unload, 4));
    assert_ne!(first.weights, second.weights);
}

/// An answer may be wrong: an adapter that stays loaded after its unload was accepted can be unloaded again.
#[test]
fn reconcile_unload_that_does_not_end() {
    let mut engine = engine(1, &["a"]);
    engine.add_waiter(ms(0), &request("c"));
    answer(&mut engine, ms(0), Answer::Accepted);
    let mut now = 0;
    while now < 10_600 {
        if engine.step(ms(now)) == Step::Report {
            engine.reconcile(ms(now), &report(&[("a", 1)], 1));
        }
        now += 50;
    }
    let again = order(&mut engine, ms(now));
    assert_eq!((again.action, again.expected), (Action::Unload, 1));
}

/// The order that loaded the adapter had no response: the same order is answered as applied already, and is not to be
/// repeated without end.
#[test]
fn record_answer_load_that_was_carried_out_before() {
    let mut engine = engine(2, &[]);
    engine.add_waiter(ms(0), &request("a"));
    answer(&mut engine, ms(0), Answer::NoResponse);
    answer(&mut engine, ms(120), Answer::AlreadyApplied);
    assert_matches!(engine.step(ms(121)), Step::Sleep(Some(_)));
    assert_eq!(engine.step(ms(420)), Step::Report);
    engine.reconcile(ms(420), &report(&[("a", 1)], 1));
    grant(&mut engine, ms(420), "a");
}

#[test]
fn step_one_fetch_at_a_time() {
    let mut engine = engine(8, &[]);
    engine.add_waiter(ms(0), &request("a"));
    engine.add_waiter(ms(0), &request("b"));
    answer(&mut engine, ms(0), Answer::Accepted);
    assert_matches!(engine.step(ms(1)), Step::Sleep(_));
    answer(&mut engine, ms(30), Answer::Accepted);
    answer(&mut engine, ms(260), Answer::AlreadyApplied);
    assert_eq!(order(&mut engine, ms(261)).weights, weights("b"));
}

#[test]
fn delay_cached_adapter() {
    let mut engine = engine(1, &["a"]);
    engine.add_waiter(ms(0), &request("b"));
    answer(&mut engine, ms(0), Answer::AlreadyApplied);
    let estimate = engine.delay(ms(0), &weights("a"));
    assert!(estimate < engine.delay(ms(0), &weights("z")));
}

#[test]
fn step_on_time_before_late() {
    let mut engine = engine(8, &[]);
    let mut late = request("late");
    late.due_in = ms(0);
    engine.add_waiter(ms(0), &late);
    engine.add_waiter(ms(10), &request("on-time"));
    assert_eq!(order(&mut engine, ms(20)).weights, weights("on-time"));
}

#[test]
fn step_most_waiting_first() {
    let mut engine = engine(8, &[]);
    engine.add_waiter(ms(0), &request("one"));
    engine.add_waiter(ms(1), &request("two"));
    engine.add_waiter(ms(2), &request("two"));
    assert_eq!(order(&mut engine, ms(3)).weights, weights("two"));
}

#[test]
fn remove_waiter_last() {
    let mut engine = engine(8, &[]);
    engine.add_waiter(ms(0), &request("a"));
    engine.remove_waiter(&request("a"));
    assert_eq!(engine.step(ms(1)), Step::Sleep(None));
}

#[test]
fn request_behind_pending_prefills() {
    let mut engine = engine(2, &["a"]);
    let mut long = request("a");
    long.tokens = 40_000;
    assert_matches!(engine.request(ms(0), &long), Decision::Granted(_));
    let mut next = request("a");
    next.max_delay = Some(ms(500));
    assert_matches!(engine.request(ms(0), &next), Decision::Busy(delay) if delay > ms(900));
    engine.response_started(ms(1300), 1);
    assert_matches!(engine.request(ms(1300), &next), Decision::Granted(_));
}

/// The estimated time of a prefill grows with the square of its tokens and ended the process when it left the range of
/// a duration.
#[test]
fn request_largest_prompts() {
    let mut unlimited = class(2);
    unlimited.memory_tokens = 0;
    let mut engine = Engine::new(ms(0), &unlimited);
    engine.reconcile(ms(0), &report(&[("a", 1)], 0));
    let mut largest = request("a");
    largest.tokens = u32::MAX;
    largest.parts = (0..4000)
        .map(|number| Part {
            id: format!("{number:x}"),
            tokens: u32::MAX,
        })
        .collect();
    for start in 0..5 {
        assert_matches!(engine.request(ms(start), &largest), Decision::Granted(_));
    }
    let mut next = request("a");
    next.max_delay = Some(ms(5_000));
    assert_matches!(engine.request(ms(10), &next), Decision::Busy(_));
    assert!(engine.delay(ms(10), &weights("b")) >= engine.backlog(ms(10)));
}

/// A count of orders that no engine reaches ended the process where sums are checked, and started again from 0 elsewhere.
#[test]
fn reconcile_largest_count_of_orders() {
    let mut engine = engine(2, &[]);
    engine.reconcile(ms(0), &report(&[], u64::MAX));
    engine.add_waiter(ms(0), &request("a"));
    let load = answer(&mut engine, ms(0), Answer::Accepted);
    assert_eq!((load.expected, engine.orders()), (u64::MAX, u64::MAX));
}

/// An older gateway passes on a prompt that fits into no engine. Granted, it would make the engine busy for all others.
#[test]
fn request_larger_than_the_memory() {
    let mut engine = engine(2, &["a"]);
    let mut large = request("a");
    large.tokens = 280_001;
    assert_matches!(engine.request(ms(0), &large), Decision::Busy(delay) if delay > ms(5000));
    assert_eq!(engine.backlog(ms(0)), ms(0));
    grant(&mut engine, ms(0), "a");
}

/// A stream that is resumed is lost if it is refused, and would have been late already as a new request.
#[test]
fn request_resumed_at_an_overloaded_engine() {
    let mut engine = engine(2, &["a"]);
    let mut long = request("a");
    long.tokens = 25_000;
    long.max_delay = Some(ms(10_000));
    for start in 0..5 {
        engine.request(ms(start * 100), &long);
    }
    let mut fresh = request("a");
    fresh.max_delay = Some(ms(5_000));
    assert_matches!(engine.request(ms(3_500), &fresh), Decision::Busy(_));
    let mut resumed = fresh.clone();
    resumed.due_in = choice::due_in(ms(500), ms(5_000), true);
    assert_matches!(engine.request(ms(3_500), &resumed), Decision::Granted(_));
}

#[test]
fn request_slow_engine() {
    let mut engine = engine(2, &["a"]);
    for start in 0..20 {
        let now = ms(start * 1000);
        let grant = grant(&mut engine, now, "a");
        engine.response_started(now + ms(300), grant);
        engine.release(&weights("a"), grant);
    }
    // About 38 ms of prefill according to the data sheet.
    grant(&mut engine, ms(30_000), "a");
    assert!(engine.backlog(ms(30_000)) > ms(200));
}

#[test]
fn request_only_resident() {
    let mut engine = engine(2, &["a"]);
    let mut absent = request("b");
    absent.only_resident = true;
    absent.max_delay = Some(ms(5000));
    assert_matches!(engine.request(ms(0), &absent), Decision::Busy(_));
    assert_eq!(engine.step(ms(0)), Step::Sleep(None));
}

#[test]
fn delay_queue_for_slots() {
    let mut engine = engine(1, &["a"]);
    grant(&mut engine, ms(0), "a");
    let empty = engine.delay(ms(0), &weights("z"));
    for adapter in ["b", "c", "d"] {
        engine.add_waiter(ms(0), &request(adapter));
    }
    assert!(engine.delay(ms(0), &weights("z")) > empty * 2);
}

/// After a takeover or a crash an owner may list an adapter that the engine no longer holds.
/// Granting it again at once would only use up the retry budget.
#[test]
fn mark_missing_is_not_granted_again() {
    let mut engine = engine(2, &["a"]);
    let wrong = grant(&mut engine, ms(0), "a");
    engine.mark_missing(ms(1), &weights("a"));
    engine.release(&weights("a"), wrong);
    assert_eq!(engine.request(ms(2), &request("a")), Decision::Wait);
    assert_eq!(engine.step(ms(400)), Step::Report);
    engine.reconcile(ms(400), &report(&[], 0));
    engine.add_waiter(ms(400), &request("a"));
    assert_eq!(order(&mut engine, ms(400)).action, Action::Load);
}

#[test]
fn release_lost_expires() {
    let mut engine = engine(1, &["a"]);
    grant(&mut engine, ms(0), "a");
    engine.add_waiter(ms(0), &request("b"));
    assert_matches!(engine.step(ms(1000)), Step::Sleep(_));
    let order: Order = order(&mut engine, ms(21_000));
    assert_eq!(order.action, Action::Unload);
}

/// The estimate of a slow engine was that of a fast one, so that prompts were sent there although others were faster.
#[test]
fn request_slow_moment() {
    let mut engine = engine(2, &["a"]);
    let mut long = request("a");
    long.tokens = 9_000;
    assert_matches!(engine.request(ms(0), &long), Decision::Granted(_));
    let usual = engine.backlog(ms(0));
    engine.record_slowdown(ms(0), 400);
    assert!(engine.backlog(ms(0)) > usual * 2);
    let mut bounded = long.clone();
    bounded.max_delay = Some(usual + ms(100));
    assert_matches!(engine.request(ms(0), &bounded), Decision::Busy(_));
    engine.record_slowdown(ms(1), 100);
    assert!(engine.backlog(ms(1)) <= usual);
    assert_matches!(engine.request(ms(1), &bounded), Decision::Granted(_));
}

/// Returns a request for a stream whose pauses may take `max_pause`.
fn stream(tokens: u32, max_pause: u64) -> Request {
    let mut stream = request("a");
    (stream.tokens, stream.max_pause) = (tokens, Some(ms(max_pause)));
    stream.max_delay = Some(ms(150));
    stream.only_resident = true;
    stream
}

/// Returns an engine that has said how fast it works.
fn uneven_engine() -> Engine {
    let mut engine = engine(2, &["a"]);
    engine.record_slowdown(ms(0), 100);
    engine
}

/// Where engines do not say how fast they work, prompts that pauses sent to other engines caused more fetches than the
/// pauses cost.
#[test]
fn request_harms_streams_of_even_engine() {
    let mut engine = engine(2, &["a"]);
    for at in [0, 50] {
        let mut long = stream(9_000, 40);
        long.max_delay = Some(ms(500));
        assert_matches!(engine.request(ms(at), &long), Decision::Granted(_));
    }
}

/// A new owner, or that of an engine that has restarted, must place requests by their delay until the first figure, and
/// take pauses into account from then on, also long after the last figure.
#[test]
fn request_before_the_first_figure() {
    let mut engine = engine(2, &["a"]);
    let (short, long) = (stream(400, 40), stream(9_000, 40));
    for (start, is_harm_known) in [(0, false), (1_000, true), (600_000, true)] {
        if start == 1_000 {
            engine.record_slowdown(ms(start), 100);
        }
        let Decision::Granted(running) = engine.request(ms(start), &short) else {
            panic!("an idle engine refused a short prompt at {start} ms");
        };
        engine.response_started(ms(start + 30), running);
        let decision = engine.request(ms(start + 50), &long);
        assert_eq!(matches!(decision, Decision::Busy(_)), is_harm_known);
        if let Decision::Granted(grant) = decision {
            engine.release(&long.weights, grant);
        }
        engine.release(&short.weights, running);
    }
}

/// A long prompt held up the streams of an engine, although other engines that hold its adapter had none.
#[test]
fn request_harms_streams() {
    let mut engine = uneven_engine();
    let Decision::Granted(grant) = engine.request(ms(0), &stream(400, 40)) else {
        panic!("an idle engine refused a short prompt");
    };
    engine.response_started(ms(30), grant);
    let mut long = stream(9_000, 40);
    assert_matches!(engine.request(ms(50), &long), Decision::Busy(delay) if delay >= ms(400));
    let mut short = stream(200, 40);
    short.max_delay = Some(ms(30));
    assert_matches!(engine.request(ms(50), &short), Decision::Granted(_));
    long.is_last = true;
    assert_matches!(engine.request(ms(100), &long), Decision::Granted(_));
    // The second prompt's stream and the new one are harmed, but not the first, which is late already.
    let harm = engine.forecast(ms(150), &long).harm;
    assert!((1.9..2.1).contains(&harm), "{harm}");
}

/// A stream was sent to an engine that was slow at the moment, where its own pauses were too long.
#[test]
fn request_own_pauses() {
    let mut engine = engine(2, &["a"]);
    let next = stream(100, 10);
    let Decision::Granted(grant) = engine.request(ms(0), &next) else {
        panic!("an idle engine refused a short prompt");
    };
    engine.release(&weights("a"), grant);
    engine.record_slowdown(ms(0), 450);
    assert_matches!(engine.request(ms(0), &next), Decision::Busy(_));
    assert_matches!(engine.request(ms(2_000), &next), Decision::Granted(_));
}

/// Requests of gateways of older releases name no pause, and were placed by their delay alone.
#[test]
fn request_without_pause_objective() {
    let mut engine = engine(2, &["a"]);
    let mut older = stream(9_000, 1);
    older.max_pause = None;
    older.max_delay = Some(ms(500));
    for _ in 0..2 {
        assert_matches!(engine.request(ms(0), &older), Decision::Granted(_));
    }
    let forecast = engine.forecast(ms(0), &older);
    assert_eq!(forecast.delay(), ms(0));
}

/// A request that could not end in time was begun all the same, and its caller left before.
#[test]
fn request_cannot_end() {
    let mut engine = uneven_engine();
    let mut prompt = request("a");
    (prompt.tokens, prompt.end_in, prompt.is_last) = (20_000, Some(ms(400)), true);
    assert_matches!(engine.request(ms(0), &prompt), Decision::Busy(_));
    prompt.end_in = None;
    assert_matches!(engine.request(ms(0), &prompt), Decision::Granted(_));
}

/// Runs streams one after the other, of which each takes `took`; returns the time at their end.
fn run_streams(engine: &mut Engine, request: &Request, took: Duration) -> Duration {
    let mut now = ms(0);
    for _ in 0..60 {
        let Decision::Granted(grant) = engine.request(now, request) else {
            panic!("an idle engine refused a request");
        };
        engine.response_started(now + ms(20), grant);
        now += ms(20) + took;
        engine.record_end(now, grant, ms(0));
        engine.release(&request.weights, grant);
    }
    now
}

/// Callers may accept far more output than comes: only what responses had before counts, and a clear miss.
#[test]
fn request_cannot_write_its_output() {
    let mut long = stream(100, 10_000);
    long.output_tokens = 1_000;
    let mut known = uneven_engine();
    let now = run_streams(&mut known, &long, ms(5_000));
    (long.is_last, long.only_resident, long.end_in) = (true, false, Some(ms(1_000)));
    assert_matches!(known.request(now, &long), Decision::Busy(_));
    // Engines are only preferred for all of the expected output.
    long.end_in = Some(ms(3_500));
    long.only_resident = true;
    assert_matches!(known.request(now, &long), Decision::Busy(_));
    long.only_resident = false;
    assert_matches!(known.request(now, &long), Decision::Granted(_));
    // A stream that has begun goes on, and gateways of older releases name no time.
    long.end_in = None;
    assert_matches!(known.request(now, &long), Decision::Granted(_));
    let mut short = stream(100, 10_000);
    (short.output_tokens, short.end_in) = (u32::MAX, Some(ms(1_000)));
    let mut other = engine(2, &["a"]);
    let now = run_streams(&mut other, &short, ms(500));
    assert_matches!(other.request(now, &short), Decision::Granted(_));
}

/// Runs a stream of `written` tokens at the usual pace of 5 ms each, if it is granted; returns the time at its end.
fn run_stream(engine: &mut Engine, now: Time, request: &Request, written: u64) -> Option<Time> {
    let Decision::Granted(grant) = engine.request(now, request) else {
        return None;
    };
    engine.response_started(now + ms(20), grant);
    let end = now + ms(20 + 5 * written);
    engine.record_end(end, grant, ms(0));
    engine.release(&request.weights, grant);
    Some(end)
}

/// Callers that accepted 16 tokens and used them all made every engine refuse those that accepted 4,000 and used 30.
#[test]
fn request_mixed_output_limits() {
    let mut engine = uneven_engine();
    let mut short = stream(100, 10_000);
    (short.output_tokens, short.end_in) = (16, Some(ms(1_000)));
    let mut long = short.clone();
    long.output_tokens = 4_000;
    let mut now = ms(0);
    for round in 0..100 {
        for _ in 0..9 {
            now = run_stream(&mut engine, now, &short, 16).expect("a short stream was refused");
        }
        now = run_stream(&mut engine, now, &long, 30)
            .unwrap_or_else(|| panic!("a long stream was refused in round {round}"));
    }
}

/// An engine that had learned a long output refused all requests, and nothing ended there that could correct it.
#[test]
fn request_after_silence() {
    let mut engine = uneven_engine();
    let mut long = stream(100, 10_000);
    long.output_tokens = 4_000;
    let mut now = ms(0);
    for _ in 0..60 {
        now = run_stream(&mut engine, now, &long, 1_000).expect("a long stream was refused");
    }
    long.end_in = Some(ms(1_000));
    assert_eq!(run_stream(&mut engine, now, &long, 30), None);
    // Streams that end every few seconds keep what is known.
    assert_eq!(run_stream(&mut engine, now + ms(8_000), &long, 30), None);
    now += ms(40_000);
    for _ in 0..20 {
        now = run_stream(&mut engine, now, &long, 30).expect("refused after the silence");
    }
}

/// Errors that an engine sent at once counted as prompts that it had read fast.
#[test]
fn release_without_a_response() {
    let mut class = class(2);
    class.tokens_per_event = 8;
    let mut engine = Engine::new(ms(0), &class);
    engine.reconcile(ms(0), &report(&[("a", 1)], 0));
    let usual = engine.pace(ms(0));
    let mut next = stream(4_000, 10_000);
    (next.output_tokens, next.end_in) = (100, Some(ms(5_000)));
    for start in 0..40 {
        let now = ms(start * 100);
        let Decision::Granted(grant) = engine.request(now, &next) else {
            panic!("refused at {now:?}");
        };
        assert!(engine.backlog(now) > ms(0));
        engine.record_end(now + ms(2), grant, ms(1));
        engine.release(&next.weights, grant);
        assert_eq!(engine.backlog(now + ms(2)), ms(0));
    }
    assert_eq!(engine.observed_pace(ms(4_000)), None);
    assert_eq!(engine.pace(ms(4_000)), usual);
    // Nor do they tell the output: an engine that has said how fast it works takes the request at once.
    engine.record_slowdown(ms(4_000), 100);
    next.end_in = Some(ms(300));
    assert_matches!(engine.request(ms(4_000), &next), Decision::Granted(_));
}

/// Where events usually take longer than the objective for pauses, every engine refused requests until the last question.
#[test]
fn request_objective_below_the_usual_event() {
    let mut known = class(2);
    known.tokens_per_event = 8;
    let mut engine = Engine::new(ms(0), &known);
    engine.reconcile(ms(0), &report(&[("a", 1)], 0));
    for start in 0..4 {
        let now = ms(start * 100);
        let next = stream(100, 30);
        let Decision::Granted(grant) = engine.request(now, &next) else {
            panic!("refused at {now:?}");
        };
        engine.response_started(now + ms(20), grant);
    }
}

/// Returns a request of a team.
fn of_team(team: &str, adapter: &str, tokens: u32, max_delay: u64) -> Request {
    let mut request = request(adapter);
    (request.tokens, request.max_delay) = (tokens, Some(ms(max_delay)));
    (request.due_in, request.team) = (ms(560), team.to_string());
    request
}

/// A team that had used far more than others was granted as much delay as they; or it is deferred at an idle engine, or
/// while it is alone, or a request without a team is.
#[test]
fn request_of_team_beyond_its_share() {
    let mut engine = engine(2, &["a"]);
    let long = |team| of_team(team, "a", 6_000, 500);
    let Decision::Granted(large) = engine.request(ms(0), &long("large")) else {
        panic!("an idle engine deferred a request");
    };
    assert_matches!(engine.request(ms(0), &long("large")), Decision::Granted(_));
    assert_matches!(
        engine.request(ms(0), &of_team("small", "a", 100, 500)),
        Decision::Granted(_)
    );
    assert_matches!(
        engine.request(ms(0), &of_team("large", "a", 100, 500)),
        Decision::Deferred(_)
    );
    assert_matches!(
        engine.request(ms(0), &of_team("", "a", 100, 500)),
        Decision::Granted(_)
    );
    assert_matches!(
        engine.request(ms(0), &of_team("small", "a", 100, 500)),
        Decision::Granted(_)
    );
    for started in large..large + 5 {
        engine.response_started(ms(500), started);
    }
    assert_matches!(
        engine.request(ms(500), &long("large")),
        Decision::Granted(_)
    );
}

/// A team was deferred for work that its quota permits.
#[test]
fn request_of_team_within_its_quota() {
    let mut engine = engine(2, &["a"]);
    let teams = [("large", 6_000, 1.8), ("small", 700, 0.2)];
    for (team, tokens, share) in [teams[0], teams[0], teams[1], teams[0]] {
        let mut request = of_team(team, "a", tokens, 500);
        request.team_share = share;
        assert_matches!(engine.request(ms(0), &request), Decision::Granted(_));
    }
}

/// An adapter that many requests of one team wait for was loaded before those of the other teams.
#[test]
fn load_for_team_beyond_its_share() {
    let mut engine = engine(4, &["a"]);
    for prompt in [
        of_team("large", "a", 9_000, 500),
        of_team("small", "a", 10, 500),
    ] {
        assert_matches!(engine.request(ms(0), &prompt), Decision::Granted(_));
    }
    for _ in 0..3 {
        engine.add_waiter(ms(0), &of_team("large", "b", 10, 500));
    }
    engine.add_waiter(ms(1), &of_team("small", "c", 10, 500));
    assert_eq!(order(&mut engine, ms(1)).weights, weights("c"));
    engine.remove_waiter(&of_team("small", "c", 10, 500));
    assert_eq!(order(&mut engine, ms(1)).weights, weights("b"));
}
