//! VMs claim an engine that accepts orders with stale fencing numbers, while the store loses calls and responses, and
//! VMs stand still, restart and have views of different ages.
//!
//! A lease whose renewals were lost lapsed, another VM claimed the engine, its lease lapsed too, and the first VM claimed
//! the engine back: the engine received orders of two VMs in turn.

use std::collections::VecDeque;
use std::time::Duration;

use endivespur_core::gateway::lease::Validity;
use endivespur_core::gateway::ownership::{Claim, Claims, Decision};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINE: &str = "e";
const VMS: [&str; 4] = ["a", "b", "c", "d"];
/// The duration of one step.
const STEP_MS: u64 = 20;
/// The number of steps of the test.
const STEPS: u64 = 200_000;
/// The time within which the engine must not receive orders of two VMs in turn.
const TURN_TIME: Duration = Duration::from_secs(3);
const LEASE_TTL: Duration = Duration::from_secs(2);
const RENEW_INTERVAL: u64 = 900;
/// The time after which a call counts as failed.
const CALL_TIMEOUT: u64 = 260;
/// The maximum time that an order takes.
const MAX_ORDER_MS: u64 = 100;
/// The time that a process takes to restart, after which no order of its predecessor is on its way.
const RESTART_MS: u64 = 300;
/// The length of each phase of trouble, and of the calm one after it.
const PHASE_STEPS: u64 = 1000;
/// The longest time until an engine has an owner in calm: a lease that no one renews any more, a turn, and the delays
/// of views and ranks.
const MAX_UNOWNED_IN_CALM: Duration = Duration::from_secs(2 + 3 + 2);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[derive(Clone)]
enum Event {
    Claim(Option<(usize, u64)>),
    Holder(usize),
}

#[derive(Clone, Copy)]
enum Request {
    Grant,
    Renew,
    Write { fence: u64, holder: u64 },
}

/// A call that is on its way to the store.
struct Call {
    vm: usize,
    /// The process of the VM that sent it.
    process: u64,
    request: Request,
    sent: u64,
    arrives: u64,
    /// Whether the response is lost.
    is_response_lost: bool,
}

#[derive(Default)]
struct Store {
    revision: u64,
    events: Vec<(u64, Event)>,
    /// The VM, its process and the revision of the claim.
    claim: Option<(usize, u64, u64)>,
    holder: Option<(usize, u64)>,
    /// The process and the expiry time of each VM's newest lease.
    leases: [Option<(u64, u64)>; VMS.len()],
    /// The expiry of the lease that the claim belongs to, once a restarted VM has a newer one.
    old_lease: Option<u64>,
}

impl Store {
    fn add(&mut self, event: Event) -> u64 {
        self.revision += 1;
        self.events.push((self.revision, event));
        self.revision
    }

    fn lease_end(&self, vm: usize, process: u64) -> Option<u64> {
        let lease = self.leases[vm].filter(|(owner, _)| *owner == process);
        lease.map(|(_, end)| end)
    }

    fn expire(&mut self, now: u64) {
        if let Some((vm, process, _)) = self.claim {
            let end = self.lease_end(vm, process).or(self.old_lease);
            if end.is_none_or(|end| end <= now) {
                self.claim = None;
                self.old_lease = None;
                self.add(Event::Claim(None));
            }
        }
    }

    /// Executes a call; returns whether it succeeded.
    fn execute(&mut self, now: u64, call: &Call) -> bool {
        let ttl = LEASE_TTL.as_millis() as u64;
        match call.request {
            Request::Grant => {
                if let Some((vm, process, _)) = self.claim
                    && vm == call.vm
                {
                    self.old_lease = self.lease_end(vm, process).or(self.old_lease);
                }
                self.leases[call.vm] = Some((call.process, now + ttl));
                true
            }
            Request::Renew => {
                let is_live = self
                    .lease_end(call.vm, call.process)
                    .is_some_and(|end| end > now);
                if is_live {
                    self.leases[call.vm] = Some((call.process, now + ttl));
                }
                is_live
            }
            Request::Write { fence, holder } => {
                let is_expected = self.claim.map_or(0, |(_, _, fence)| fence) == fence
                    && self.holder.map_or(0, |(_, revision)| revision) == holder;
                let end = self.lease_end(call.vm, call.process);
                if !is_expected || end.is_none_or(|end| end <= now) {
                    return false;
                }
                let revision = self.add(Event::Claim(Some((call.vm, call.process))));
                self.claim = Some((call.vm, call.process, revision));
                self.old_lease = None;
                let revision = self.add(Event::Holder(call.vm));
                self.holder = Some((call.vm, revision));
                true
            }
        }
    }
}

struct Vm {
    process: u64,
    claims: Claims,
    validity: Validity,
    has_lease: bool,
    /// The number of the store's events that it has received.
    received: usize,
    holder_revision: u64,
    /// When it may send its next call, of leases and of claims.
    next_renewal: u64,
    next_claim: u64,
    /// Until when it stands still, loses its calls, and receives no events.
    paused_until: u64,
    cut_until: u64,
    blind_until: u64,
}

impl Vm {
    fn start(now: u64, process: u64, store: &Store, turn_time: Option<Duration>) -> Self {
        let mut vm = Self {
            process,
            claims: turn_time.map_or_else(Claims::new, Claims::with_turn_time),
            validity: Validity::new(),
            has_lease: false,
            received: store.events.len(),
            holder_revision: 0,
            next_renewal: now,
            next_claim: now,
            paused_until: 0,
            cut_until: 0,
            blind_until: 0,
        };
        if let Some((owner, process, fence)) = store.claim {
            vm.set_claim(now, fence, Some((owner, process)));
        }
        if let Some((holder, revision)) = store.holder {
            vm.set_holder(now, revision, holder);
        }
        vm
    }

    fn set_claim(&mut self, now: u64, revision: u64, claim: Option<(usize, u64)>) {
        let claim = claim.map(|(vm, process)| Claim {
            vm: VMS[vm].to_string(),
            process: process.to_string(),
            fence: revision,
        });
        self.claims.set(ms(now), ENGINE, revision, claim);
    }

    fn set_holder(&mut self, now: u64, revision: u64, holder: usize) {
        self.holder_revision = revision;
        self.claims
            .set_holder(ms(now), ENGINE, revision, Some(VMS[holder]));
    }

    fn receive(&mut self, now: u64, store: &Store) {
        for (revision, event) in &store.events[self.received..] {
            match event {
                Event::Claim(claim) => self.set_claim(now, *revision, *claim),
                Event::Holder(holder) => self.set_holder(now, *revision, *holder),
            }
        }
        self.received = store.events.len();
    }

    /// Returns the fencing number with which it may send orders.
    fn fence(&self, now: u64) -> Option<u64> {
        let claim = self.claims.get(ENGINE)?;
        let is_own = claim.process == self.process.to_string();
        let is_permitted = self.has_lease && self.validity.permits_orders(ms(now), false);
        (is_own && is_permitted).then_some(claim.fence)
    }
}

/// What the engine has received.
#[derive(Default)]
struct Engine {
    /// The VM of the last orders, and when it sent the last one.
    last: Option<(usize, u64)>,
    /// The same for the VM before it.
    before: Option<(usize, u64)>,
    fence: u64,
    changes: usize,
    shortest_turn: Option<u64>,
    has_lower_fence: bool,
}

impl Engine {
    fn receive(&mut self, now: u64, vm: usize, fence: u64) {
        self.has_lower_fence |= fence < self.fence;
        self.fence = self.fence.max(fence);
        if let Some((last, _)) = self.last
            && last != vm
        {
            self.changes += 1;
            if let Some((_, before)) = self.before {
                let turn = now - before;
                self.shortest_turn = Some(self.shortest_turn.map_or(turn, |known| known.min(turn)));
            }
            self.before = self.last;
        }
        self.last = Some((vm, now));
    }
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    store: Store,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    orders: VecDeque<(u64, usize, u64)>,
    engine: Engine,
    processes: u64,
    turn_time: Option<Duration>,
    unowned_since: u64,
    longest_unowned_in_calm: u64,
    unowned_ms: u64,
}

impl World {
    fn new(seed: u64, turn_time: Option<Duration>) -> Self {
        let store = Store::default();
        let vms = (0..VMS.len() as u64).map(|process| Vm::start(0, process, &store, turn_time));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            vms: vms.collect(),
            store,
            calls: Vec::new(),
            orders: VecDeque::new(),
            engine: Engine::default(),
            processes: VMS.len() as u64,
            turn_time,
            unowned_since: 0,
            longest_unowned_in_calm: 0,
            unowned_ms: 0,
        }
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    /// Lets faults begin.
    fn disturb(&mut self) {
        for number in 0..VMS.len() {
            let until = self.now + self.rng.random_range(100..4000);
            if self.chance(250) {
                self.vms[number].cut_until = until;
            }
            if self.chance(600) {
                self.vms[number].blind_until = until;
            }
            if self.chance(900) {
                self.vms[number].paused_until = until;
            }
            if self.chance(1500) {
                self.processes += 1;
                let vm = Vm::start(self.now, self.processes, &self.store, self.turn_time);
                self.vms[number] = vm;
                self.vms[number].paused_until = self.now + RESTART_MS;
            }
        }
    }

    fn send(&mut self, vm: usize, request: Request, is_disturbed: bool) {
        let is_cut = self.now < self.vms[vm].cut_until;
        let is_lost = is_disturbed && self.chance(if is_cut { 2 } else { 12 });
        if is_lost {
            return;
        }
        let is_late = is_cut && self.chance(4);
        let delay = if is_late {
            self.rng.random_range(300..2000)
        } else {
            self.rng.random_range(1..100)
        };
        let is_response_lost = is_cut || (is_disturbed && self.chance(12));
        self.calls.push(Call {
            vm,
            process: self.vms[vm].process,
            request,
            sent: self.now,
            arrives: self.now + delay,
            is_response_lost,
        });
    }

    fn deliver_calls(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Call>, Vec<Call>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.arrives <= now);
        self.calls = later;
        for call in due {
            self.store.expire(now);
            let is_done = self.store.execute(now, &call);
            let vm = &mut self.vms[call.vm];
            let is_answered = !call.is_response_lost
                && call.process == vm.process
                && now >= vm.paused_until
                && now < call.sent + CALL_TIMEOUT;
            if !is_answered {
                continue;
            }
            match call.request {
                Request::Grant | Request::Renew if is_done => {
                    vm.has_lease = true;
                    vm.validity.renewed(ms(call.sent), LEASE_TTL);
                }
                Request::Renew => {
                    vm.has_lease = false;
                    vm.next_renewal = now;
                    let owned = vm.claims.get(ENGINE).map(|claim| claim.process.clone());
                    if owned == Some(vm.process.to_string()) {
                        vm.claims.set(ms(now), ENGINE, u64::MAX, None);
                    }
                }
                Request::Write { .. } | Request::Grant => {}
            }
        }
        self.store.expire(now);
    }

    fn act(&mut self, number: usize, is_disturbed: bool) {
        let now = self.now;
        if now < self.vms[number].paused_until {
            return;
        }
        if now < self.vms[number].paused_until + STEP_MS {
            self.vms[number].validity.suspended();
        }
        if now >= self.vms[number].blind_until {
            self.vms[number].receive(now, &self.store);
        }
        let vm = &mut self.vms[number];
        if now >= vm.next_renewal {
            let request = if vm.has_lease {
                Request::Renew
            } else {
                Request::Grant
            };
            vm.next_renewal = now + RENEW_INTERVAL;
            self.send(number, request, is_disturbed);
        }
        let vm = &mut self.vms[number];
        if vm.has_lease && now >= vm.next_claim {
            let process = vm.process.to_string();
            let own = (VMS[number], process.as_str());
            let decision = vm.claims.decide(ms(now), ENGINE, own, VMS.into_iter());
            if let Decision::Claim(fence) = decision {
                vm.next_claim = now + CALL_TIMEOUT;
                let holder = vm.holder_revision;
                self.send(number, Request::Write { fence, holder }, is_disturbed);
            }
        }
        if let Some(fence) = self.vms[number].fence(now) {
            let arrives = now + self.rng.random_range(1..MAX_ORDER_MS);
            self.orders.push_back((arrives, number, fence));
        }
    }

    fn step(&mut self, is_disturbed: bool) {
        self.now += STEP_MS;
        if is_disturbed {
            self.disturb();
        }
        self.deliver_calls();
        for number in 0..VMS.len() {
            self.act(number, is_disturbed);
        }
        let now = self.now;
        let mut due: Vec<_> = self
            .orders
            .iter()
            .copied()
            .filter(|(at, ..)| *at <= now)
            .collect();
        self.orders.retain(|(at, ..)| *at > now);
        due.sort_unstable();
        for (at, vm, fence) in due {
            self.engine.receive(at, vm, fence);
        }
        if (0..VMS.len()).any(|vm| self.vms[vm].fence(now).is_some()) {
            self.unowned_since = now;
        } else {
            self.unowned_ms += STEP_MS;
            if !is_disturbed {
                self.longest_unowned_in_calm =
                    self.longest_unowned_in_calm.max(now - self.unowned_since);
            }
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            let is_disturbed = (step / PHASE_STEPS).is_multiple_of(2);
            if step % PHASE_STEPS == 0 {
                self.unowned_since = self.now;
                for vm in &mut self.vms {
                    vm.cut_until = vm.cut_until.min(self.now);
                    vm.blind_until = vm.blind_until.min(self.now);
                    vm.paused_until = vm.paused_until.min(self.now);
                }
            }
            self.step(is_disturbed);
        }
    }
}

#[test]
fn decide_engines_without_fences() {
    for seed in 0..4 {
        let mut world = World::new(seed, Some(TURN_TIME));
        world.run();
        let engine = &world.engine;
        println!(
            "seed {seed}: {} changes, shortest turn {:?} ms, without an owner {} of {} ms, in calm at most {} ms",
            engine.changes,
            engine.shortest_turn,
            world.unowned_ms,
            STEPS * STEP_MS,
            world.longest_unowned_in_calm
        );
        assert!(
            engine.changes > 50,
            "seed {seed}: {} changes",
            engine.changes
        );
        assert!(
            !engine.has_lower_fence,
            "seed {seed}: a lower fencing number"
        );
        assert!(
            engine.shortest_turn >= Some(TURN_TIME.as_millis() as u64),
            "seed {seed}: {:?}",
            engine.shortest_turn
        );
        assert!(
            ms(world.longest_unowned_in_calm) <= MAX_UNOWNED_IN_CALM,
            "seed {seed}: {} ms without an owner",
            world.longest_unowned_in_calm
        );
    }
}
