//! A model of small and large prompts at gateways whose calls to each other take time. Below the limit hardly any of
//! either size may be refused.

use std::collections::BTreeMap;
use std::time::Duration;

use endivespur_core::clock::{self, Time};
use endivespur_core::gateway::quota::Excess;
use endivespur_core::gateway::quota::tracker::Tracker;
use endivespur_core::gateway::quota::wallet::{Inquiry, Step};
use endivespur_core::gateway::team::{Quota, Team, Teams, Unit};
use endivespur_core::id::Vm;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ms;

const TEAM: &str = "team";
const GATEWAYS: usize = 84;
const EXCESS: Excess = Excess {
    window: Duration::from_secs(8),
    ratio: 0.1,
    tokens: 110_000.0,
};
/// How long a gateway waits for a reply.
const LOAN_WAIT: Duration = Duration::from_millis(80);
/// The mean of the amounts of requests.
const MEAN_AMOUNT: f64 = 0.1 * 13_000.0 + 0.3 * 9_200.0 + 0.6 * 825.0;

type Event = Box<dyn FnOnce(&mut World)>;

struct World {
    rng: ChaCha8Rng,
    now: Time,
    /// The tokens a second that are asked for.
    usage: f64,
    /// The share of calls one way of which takes up to 0.4 s.
    slow: f64,
    events: BTreeMap<(Time, usize), Event>,
    event_count: usize,
    nodes: Vec<Tracker>,
    /// The requests that wait at each gateway.
    waiting: Vec<Vec<(Inquiry, u64)>>,
    /// The admitted and the refused amounts.
    outcomes: [Vec<(Time, u64)>; 2],
}

impl World {
    fn new(seed: u64, rate: f64, burst: f64, usage: f64, slow: f64) -> Self {
        let unit = Unit::Tokens { plain: 1 };
        let quota = Quota { rate, burst, unit };
        let team = Team {
            priority: None,
            quota: Some(quota),
        };
        let teams = Teams::new().with_team(TEAM, team, Vec::new());
        let names: Vec<String> = (0..GATEWAYS).map(|node| format!("vm-{node}")).collect();
        let now = ms(1_000);
        let nodes = names.iter().map(|vm| {
            let mut tracker = Tracker::new(now, vm, EXCESS, true);
            tracker.assign(now, names.iter());
            tracker.configure(now, 1, Some(&teams));
            tracker
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            usage,
            slow,
            events: BTreeMap::new(),
            event_count: 0,
            nodes: nodes.collect(),
            waiting: vec![Vec::new(); GATEWAYS],
            outcomes: [Vec::new(), Vec::new()],
        }
    }

    fn run(mut self, time: Duration) -> Self {
        for node in 0..GATEWAYS {
            self.after(ms(node as u64 % 50), move |world| world.check(node));
        }
        self.after(ms(0), Self::arrive);
        let end = self.now + time;
        while self.now < end {
            let ((at, _), event) = self.events.pop_first().unwrap();
            self.now = at;
            event(&mut self);
        }
        self
    }

    fn after(&mut self, delay: Duration, event: impl FnOnce(&mut World) + 'static) {
        self.event_count += 1;
        let key = (self.now + delay, self.event_count);
        self.events.insert(key, Box::new(event));
    }

    fn delay(&mut self) -> Duration {
        if self.rng.random_bool(self.slow) {
            return ms(self.rng.random_range(50..400));
        }
        clock::from_secs(self.rng.random_range(0.0005..0.012))
    }

    fn check(&mut self, node: usize) {
        self.nodes[node].check(self.now, ms(0));
        let ended = self.nodes[node].expire(self.now).into_iter();
        for part in ended.flat_map(|(_, parts)| parts) {
            let delay = self.delay();
            self.after(delay, move |world| {
                let lender = number(&part.lender.unwrap());
                world.nodes[lender].give_back(world.now, TEAM, part.amount);
            });
        }
        self.wake(node);
        self.after(ms(50), move |world| world.check(node));
    }

    /// Sends a request to a gateway, and the next one after a random time.
    fn arrive(&mut self) {
        let amount = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(10_000..16_000),
            1..4 => self.rng.random_range(8_700..9_700),
            _ => self.rng.random_range(750..900),
        };
        let node = self.rng.random_range(0..GATEWAYS);
        self.nodes[node].demanded(self.now, TEAM, amount);
        let inquiry = Inquiry::new(self.now, amount, ms(150));
        self.decide(node, inquiry, amount);
        let gap = -self.rng.random_range(1e-9..1.0_f64).ln() * MEAN_AMOUNT / self.usage;
        self.after(clock::from_secs(gap), Self::arrive);
    }

    /// Decides again about the requests that wait at a gateway.
    fn wake(&mut self, node: usize) {
        for (inquiry, amount) in std::mem::take(&mut self.waiting[node]) {
            self.decide(node, inquiry, amount);
        }
    }

    fn decide(&mut self, node: usize, inquiry: Inquiry, amount: u64) {
        let outcome = loop {
            match self.nodes[node].step(self.now, TEAM, &inquiry).unwrap() {
                Step::Borrow {
                    lender,
                    needed,
                    wanted,
                } => self.borrow(node, inquiry, lender, needed, wanted),
                Step::Wait(_) => {
                    self.waiting[node].push((inquiry, amount));
                    return;
                }
                Step::Admit(_) => break 0,
                Step::Refuse(_) => break 1,
            }
        };
        self.outcomes[outcome].push((self.now, amount));
    }

    fn borrow(&mut self, node: usize, inquiry: Inquiry, vm: Vm, needed: u64, wanted: u64) {
        let sent = self.now;
        let lender = number(&vm);
        let [there, back] = if lender == node {
            [Duration::ZERO; 2]
        } else {
            [self.delay(), self.delay()]
        };
        let is_late = there + back > LOAN_WAIT;
        if is_late {
            let vm = vm.clone();
            self.after(LOAN_WAIT, move |world| {
                let (now, tracker) = (world.now, &mut world.nodes[node]);
                tracker.replied(now, TEAM, &inquiry, &vm, sent, None);
                world.wake(node);
            });
        }
        self.after(there, move |world| {
            let loan = world.nodes[lender].lend(world.now, ms(0), TEAM, needed, wanted);
            world.after(back, move |world| {
                let (now, tracker) = (world.now, &mut world.nodes[node]);
                if is_late {
                    tracker.replied_late(TEAM, &vm, sent, loan);
                } else {
                    tracker.replied(now, TEAM, &inquiry, &vm, sent, Some(loan));
                }
                world.wake(node);
            });
        });
    }
}

fn number(vm: &str) -> usize {
    vm.strip_prefix("vm-").unwrap().parse().unwrap()
}

/// Large prompts of small teams were refused below the limit: they empty several shards, and a request gave up after four
/// keepers that had too little.
#[test]
fn quota_mix_below_the_limit() {
    let sizes = [1_000, 10_000];
    let mut sums = [[0; 2]; 3];
    for usage in [50_000.0, 100_000.0, 300_000.0] {
        let rate = 1.8 * usage;
        let world = World::new(1, rate, 0.1 * rate, usage, 0.0).run(ms(100_000));
        for (outcome, requests) in world.outcomes.iter().enumerate() {
            for (_, amount) in requests {
                sums[sizes.partition_point(|size| size <= amount)][outcome] += 1;
            }
        }
    }
    for [admitted, refused] in sums {
        assert!(refused * 500 < admitted, "{sums:?}");
    }
}

/// A large team over its limit got two thirds of its quota when each request asked several keepers at once, since the
/// buckets do not fill while loans follow each other closely. Late replies must not add to the bound.
#[test]
fn quota_mix_over_the_limit() {
    for (rate, slow) in [(180_000.0, 0.05), (1_600_000.0, 0.0)] {
        let world = World::new(1, rate, 0.1 * rate, 4.0 * rate, slow).run(ms(12_000));
        let admitted = &world.outcomes[0];
        let windows = admitted.iter().enumerate().map(|(index, (first, _))| {
            let rest = admitted[index..].iter();
            let window = rest.take_while(|(at, _)| *at < *first + EXCESS.window);
            window.map(|(_, amount)| amount).sum::<u64>()
        });
        let max = windows.max().unwrap() as f64;
        let bound = 8.1 * rate * (1.0 + EXCESS.ratio) + EXCESS.tokens;
        let range = 0.7 * bound..bound;
        assert!(range.contains(&max), "{max} of {bound}");
    }
}
