//! Plain endpoints with a short queue, which many gateways choose independently by reports of different ages.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use endivespur_core::clock;
use endivespur_core::gateway::choice::{Candidate, rank_endpoints};
use endivespur_core::gateway::health;
use endivespur_core::gateway::load::{self, Report};
use endivespur_core::retry::Budget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of gateways, spread evenly over the zones.
const GATEWAYS: usize = 84;
/// The zones, and the share of the callers in each.
const ZONES: [f64; 3] = [0.45, 0.33, 0.22];
/// The zones of the endpoints.
const ENDPOINTS: [(&str, usize); 3] = [("p0", 0), ("p1", 1), ("p2", 2)];
/// The requests that an endpoint runs at a time.
const SLOTS: usize = 6;
/// The requests that wait at an endpoint for a slot; more are rejected.
const QUEUE: usize = 24;
/// The requests of all gateways in a second.
const RATE: f64 = 160.0;
/// The number of seeds.
const SEEDS: u64 = 4;
/// The duration of a play, and the time in which the load or an endpoint differs.
const LENGTH: Duration = Duration::from_secs(12);
const CHANGE: std::ops::Range<f64> = 4.0..8.0;
/// The time that a message takes.
const HOP: Duration = Duration::from_millis(1);

/// What happens in the time [`CHANGE`].
#[derive(Clone, Copy, Debug)]
struct Load {
    /// How many times as many requests arrive.
    burst: f64,
    /// How many times as long the first endpoint takes.
    slowness: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    /// The attempts that an endpoint rejected since its queue was full.
    rejected: usize,
    /// The requests that were refused after their attempts.
    refused: usize,
    times: Vec<Duration>,
}

impl Outcome {
    fn quantile(&self, quantile: f64) -> Duration {
        let at = (self.times.len() - 1) as f64 * quantile;
        self.times[at as usize]
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    gateway: usize,
    number: u64,
    started: Duration,
    sent: Duration,
    tried: BTreeSet<usize>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    AtEndpoint(usize, Request),
    Finished(usize, Request),
    /// The endpoint's running and waiting requests, and whether it has run the request.
    Answered(usize, Request, (usize, usize), bool),
}

struct Gateway {
    zone: usize,
    health: health::Tracker,
    loads: load::Tracker,
    in_flight: BTreeMap<usize, usize>,
    budget: Budget,
}

impl Gateway {
    fn choose(&self, now: Duration, request: &Request, uses_reports: bool) -> Option<usize> {
        let untried = (0..ENDPOINTS.len()).filter(|place| !request.tried.contains(place));
        let candidates = untried.map(|place| {
            let (endpoint, zone) = ENDPOINTS[place];
            let running = self.in_flight.get(&place).copied().unwrap_or_default();
            let load = self.loads.estimate(now, endpoint, running);
            Candidate {
                endpoint: endpoint.to_string(),
                running,
                slots: SLOTS,
                is_same_zone: zone == self.zone,
                is_avoided: self.health.is_avoided(now, endpoint),
                latency: self.health.latency(endpoint).as_secs_f64(),
                load: load.filter(|_| uses_reports),
            }
        });
        let hash = endivespur_core::hash::mix(&request.number.to_string(), 0);
        let best = rank_endpoints(candidates.collect(), hash)
            .into_iter()
            .next()?;
        ENDPOINTS.iter().position(|(endpoint, _)| *endpoint == best)
    }
}

#[derive(Default)]
struct Endpoint {
    running: usize,
    queue: std::collections::VecDeque<Request>,
}

struct Play {
    random: ChaCha8Rng,
    load: Load,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    gateways: Vec<Gateway>,
    endpoints: Vec<Endpoint>,
    outcome: Outcome,
    uses_reports: bool,
}

impl Play {
    fn at(&mut self, time: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((time, self.scheduled, event)));
    }

    fn send(&mut self, now: Duration, mut request: Request) {
        let gateway = &mut self.gateways[request.gateway];
        let is_permitted = request.tried.is_empty() || gateway.budget.withdraw();
        let place = gateway.choose(now, &request, self.uses_reports);
        let Some(place) = place.filter(|_| is_permitted) else {
            self.outcome.refused += 1;
            return;
        };
        *gateway.in_flight.entry(place).or_default() += 1;
        request.tried.insert(place);
        request.sent = now;
        self.at(now + HOP, Event::AtEndpoint(place, request));
    }

    fn run(&mut self, now: Duration, place: usize, request: Request) {
        self.endpoints[place].running += 1;
        let is_slow = place == 0 && CHANGE.contains(&now.as_secs_f64());
        let factor = if is_slow { self.load.slowness } else { 1.0 };
        let work = self.random.random_range(0.015..0.03) * factor;
        self.at(
            now + clock::from_secs(work),
            Event::Finished(place, request),
        );
    }

    fn answer(&mut self, now: Duration, place: usize, request: Request, is_served: bool) {
        let endpoint = &self.endpoints[place];
        let load = (endpoint.running, endpoint.queue.len());
        self.at(now + HOP, Event::Answered(place, request, load, is_served));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrival(gateway) => {
                self.outcome.requests += 1;
                self.gateways[gateway].budget.deposit();
                let request = Request {
                    gateway,
                    number: self.random.random(),
                    started: now,
                    sent: now,
                    tried: BTreeSet::new(),
                };
                self.send(now, request);
            }
            Event::AtEndpoint(place, request) => {
                if self.endpoints[place].running < SLOTS {
                    self.run(now, place, request);
                } else if self.endpoints[place].queue.len() < QUEUE {
                    self.endpoints[place].queue.push_back(request);
                } else {
                    self.answer(now, place, request, false);
                }
            }
            Event::Finished(place, request) => {
                self.endpoints[place].running -= 1;
                if let Some(next) = self.endpoints[place].queue.pop_front() {
                    self.run(now, place, next);
                }
                self.answer(now, place, request, true);
            }
            Event::Answered(place, request, (running, waiting), is_served) => {
                let gateway = &mut self.gateways[request.gateway];
                let in_flight = gateway.in_flight.entry(place).or_default();
                *in_flight -= 1;
                let report = Report {
                    running,
                    waiting,
                    slots: SLOTS,
                    in_flight: *in_flight,
                };
                let endpoint = ENDPOINTS[place].0;
                gateway.loads.record(now, endpoint, report);
                if is_served {
                    let took = now.saturating_sub(request.sent);
                    gateway.health.record_success(now, endpoint, took);
                    gateway.loads.record_time(now, endpoint, took);
                    self.outcome.times.push(now.saturating_sub(request.started));
                } else {
                    self.outcome.rejected += 1;
                    self.send(now, request);
                }
            }
        }
    }
}

fn play(seed: u64, load: Load, uses_reports: bool) -> Outcome {
    let gateway = |number: usize| Gateway {
        zone: number % ZONES.len(),
        health: health::Tracker::new(),
        loads: load::Tracker::new(),
        in_flight: BTreeMap::new(),
        budget: Budget::new(0.06, 1.0),
    };
    let mut play = Play {
        random: ChaCha8Rng::seed_from_u64(seed),
        load,
        events: BinaryHeap::new(),
        scheduled: 0,
        gateways: (0..GATEWAYS).map(gateway).collect(),
        endpoints: ENDPOINTS.iter().map(|_| Endpoint::default()).collect(),
        outcome: Outcome::default(),
        uses_reports,
    };
    let mut now = 0.0;
    while now < LENGTH.as_secs_f64() {
        let factor = if CHANGE.contains(&now) {
            load.burst
        } else {
            1.0
        };
        let gap = -play.random.random::<f64>().max(f64::MIN_POSITIVE).ln();
        now += gap / RATE / factor;
        let mut left = play.random.random::<f64>();
        let zone = ZONES.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        let zone = zone.unwrap_or_default();
        let gateway = play.random.random_range(0..GATEWAYS / ZONES.len()) * ZONES.len() + zone;
        play.at(clock::from_secs(now), Event::Arrival(gateway));
    }
    while let Some(Reverse((now, _, event))) = play.events.pop() {
        play.handle(now, event);
    }
    play.outcome.times.sort();
    play.outcome
}

/// Plays a load with and without the reports that endpoints send.
fn compare(burst: f64, slowness: f64) -> (Outcome, Outcome) {
    let load = Load { burst, slowness };
    let total = |uses_reports| {
        let mut total = Outcome::default();
        for seed in 0..SEEDS {
            let outcome = play(seed, load, uses_reports);
            total.requests += outcome.requests;
            total.rejected += outcome.rejected;
            total.refused += outcome.refused;
            total.times.extend(outcome.times);
        }
        total.times.sort();
        println!(
            "burst {burst} slowness {slowness} reports {uses_reports}: {} requests, {} rejected, {} refused, \
             median {:?}, p99 {:?}",
            total.requests,
            total.rejected,
            total.refused,
            total.quantile(0.5),
            total.quantile(0.99)
        );
        total
    };
    (total(false), total(true))
}

/// Without a burst the choice by reports must not cost anything.
#[test]
fn plain_calm() {
    let (before, after) = compare(1.0, 1.0);
    assert_eq!(after.rejected, 0);
    assert!(after.quantile(0.99) <= before.quantile(0.99) + HOP);
}

/// The queue of the zone with most callers overflowed while the other endpoints had free slots.
#[test]
fn plain_burst() {
    for burst in [4.0, 4.6] {
        let (before, after) = compare(burst, 1.0);
        assert!(before.rejected > 50, "{before:?}");
        assert!(after.rejected * 20 <= before.rejected);
        assert!(after.quantile(0.99) < before.quantile(0.99));
    }
}

/// Gateways kept to the slow endpoint of their zone, as each had few requests there itself.
#[test]
fn plain_slow_endpoint() {
    for (burst, slowness) in [(1.0, 4.0), (2.0, 4.0), (1.0, 8.0)] {
        let (before, after) = compare(burst, slowness);
        assert_eq!(after.rejected, 0);
        assert!(after.quantile(0.99) < before.quantile(0.99) * 3 / 5);
    }
}
