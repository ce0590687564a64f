//! The owner over generated histories: its evictions are compared with a naive choice, and
//! its limits are checked.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use endivespur_core::config::Class;
use endivespur_core::id::Model;
use endivespur_core::lease::Authority;
use endivespur_core::owner::{Action, Owner, Reason, Spec};
use endivespur_core::queue::Request;
use endivespur_core::slot::{Name, Phase};
use proptest::prelude::*;

use crate::fixed_seed;

const SLOTS: usize = 3;
const BATCH: usize = 4;
const HALF_LIFE: Duration = Duration::from_mins(1);
const FENCE: u64 = 9;

fn spec() -> Spec {
    Spec {
        slots: SLOTS,
        batch: BATCH,
        waiting: 50,
        half_life: HALF_LIFE,
    }
}

fn request(ticket: u64, adapter: usize, now: Duration, alone: bool) -> Request {
    Request {
        ticket,
        entry: "n#1".to_string(),
        organisation: format!("o{}", ticket % 3),
        weight: 1,
        model: Some(Model::new(&format!("x{adapter}"), 1)),
        class: Class::Draft,
        cost: 10,
        since: now,
        deadline: now + Duration::from_secs(20),
        alone,
        wait_if_busy: true,
    }
}

/// The state of the engine and of the entry processes, which the owner does not share.
struct World {
    owner: Owner,
    now: Duration,
    tickets: BTreeMap<u64, Model>,
    running: BTreeMap<u64, Name>,
    alone: BTreeSet<u64>,
    loading: Vec<Name>,
    unloading: Vec<Name>,
    loaded: BTreeSet<Name>,
    requested: BTreeMap<Model, Vec<Duration>>,
}

impl World {
    fn new() -> Self {
        let mut owner = Owner::new(spec(), FENCE, BTreeSet::new());
        owner.listed(Duration::ZERO, Authority::Full, Duration::ZERO, &[]);
        Self {
            owner,
            now: Duration::ZERO,
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            alone: BTreeSet::new(),
            loading: Vec::new(),
            unloading: Vec::new(),
            loaded: BTreeSet::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Returns the least popular idle slot, computed from the history of requests.
    fn naive_victim(&self) -> Option<Name> {
        let waiting: BTreeSet<&Model> = self.tickets.values().collect();
        let busy: BTreeSet<&Name> = self.running.values().collect();
        let idle = self.loaded.iter().filter(|name| {
            !busy.contains(name) && !waiting.contains(&name.model) && !self.unloading.contains(name)
        });
        idle.min_by(|a, b| {
            self.naive_popularity(a)
                .total_cmp(&self.naive_popularity(b))
        })
        .cloned()
    }

    fn naive_popularity(&self, name: &Name) -> f64 {
        let times = self
            .requested
            .get(&name.model)
            .map_or(&[][..], Vec::as_slice);
        times
            .iter()
            .map(|at| self.now.saturating_sub(*at).as_secs_f64() / HALF_LIFE.as_secs_f64())
            .map(|half_lives| (-half_lives).exp2())
            .sum()
    }

    fn apply(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Grant(ticket, grant) => {
                    let model = self.tickets.remove(&ticket);
                    let name = grant
                        .slot
                        .clone()
                        .ok_or_else(|| TestCaseError::fail("no slot"))?;
                    prop_assert_eq!(model, Some(name.model.clone()), "granted another adapter");
                    prop_assert!(self.loaded.contains(&name), "{} is not loaded", name);
                    self.running.insert(grant.id, name);
                    prop_assert!(self.running.len() <= BATCH);
                    let alone = self.alone.contains(&ticket);
                    prop_assert!(
                        !alone || self.running.len() == 1,
                        "a request ran at the same time as a suspect"
                    );
                }
                Action::Refuse(ticket, _) => {
                    prop_assert!(self.tickets.remove(&ticket).is_some());
                }
                Action::Load(name) => {
                    let occupied = self.loaded.len() + self.loading.len();
                    prop_assert!(occupied < SLOTS, "a load without a free slot");
                    self.loading.push(name);
                }
                Action::Unload(name) => {
                    let busy = self.running.values().any(|other| *other == name);
                    prop_assert!(!busy, "{} was evicted in use", name);
                    self.unloading.push(name);
                }
            }
        }
        Ok(())
    }

    fn step(&mut self, kind: u8, number: u64, adapter: usize) -> Result<(), TestCaseError> {
        let (now, full) = (self.now, Authority::Full);
        let actions = match kind {
            0..=2 => {
                let request = request(
                    number,
                    adapter,
                    now,
                    adapter == 0 && number.is_multiple_of(7),
                );
                let model = Model::new(&format!("x{adapter}"), 1);
                self.requested.entry(model.clone()).or_default().push(now);
                self.tickets.insert(number, model);
                if request.alone {
                    self.alone.insert(number);
                }
                self.owner.request(now, full, request)
            }
            3 | 4 => {
                let Some((id, _)) = self.running.pop_first() else {
                    return Ok(());
                };
                self.owner.end(now, full, FENCE, id)
            }
            5 => {
                let demands = self.owner.demands(now);
                let Some(demand) = demands.get(number as usize % demands.len().max(1)) else {
                    return Ok(());
                };
                let victim = self.naive_victim();
                let is_full = self.owner.slots().len() >= SLOTS;
                let actions = self.owner.start_permitted_load(now, full, &demand.model);
                if is_full {
                    let expected: Vec<Action> = victim.into_iter().map(Action::Unload).collect();
                    prop_assert_eq!(
                        &actions,
                        &expected,
                        "evicted another slot than the naive choice"
                    );
                }
                actions
            }
            6 if !self.loading.is_empty() => {
                let name = self.loading.remove(0);
                let ok = !number.is_multiple_of(4);
                if ok {
                    self.loaded.insert(name.clone());
                }
                self.owner.loaded(now, full, &name, ok)
            }
            7 if !self.unloading.is_empty() => {
                let name = self.unloading.remove(0);
                self.loaded.remove(&name);
                self.owner.unloaded(now, full, &name, true)
            }
            _ => self.owner.grant_waiting(now, full),
        };
        self.apply(actions)
    }
}

proptest! {
    #![proptest_config(fixed_seed(3000))]

    #[test]
    fn history_evicts_as_naive_and_never_in_use(
        steps in prop::collection::vec((0u8..9, 0usize..6, 1u64..3000), 1..120),
    ) {
        let mut world = World::new();
        for (number, (kind, adapter, ms)) in steps.into_iter().enumerate() {
            world.now += Duration::from_millis(ms);
            world.step(kind, number as u64 + 1, adapter)?;
        }
    }
}

#[test]
fn takeover_evicts_nothing_before_reports() {
    let now = Duration::from_secs(100);
    let lag = Duration::from_secs(5);
    let old = Name {
        model: Model::new("old", 1),
        fence: 3,
    };
    let live = BTreeSet::from(["n#1".to_string(), "m#1".to_string()]);
    let one = Spec { slots: 1, ..spec() };
    let mut owner = Owner::new(one, FENCE, live);
    owner.listed(now, Authority::Full, now, std::slice::from_ref(&old));
    owner.request(now, Authority::Full, request(1, 5, now, false));
    let requested = Model::new("x5", 1);
    assert!(
        owner
            .start_permitted_load(now, Authority::Full, &requested)
            .is_empty()
    );
    owner.reported(now, "n#1", vec![(3, 44, Some(old.clone()))]);
    owner.reported(now, "m#1", Vec::new());
    let later = now + lag;
    owner.running_reported(later, Authority::Full, &BTreeSet::new(), lag);
    assert!(
        owner
            .start_permitted_load(later, Authority::Full, &requested)
            .is_empty(),
        "held under the old fence"
    );
    owner.end(later, Authority::Full, 3, 44);
    let actions = owner.start_permitted_load(later, Authority::Full, &requested);
    assert_eq!(actions, [Action::Unload(old)]);
}

#[test]
fn takeover_idle_but_unreported_evicts_nothing() {
    let now = Duration::from_secs(100);
    let lag = Duration::from_secs(5);
    let old = Name {
        model: Model::new("old", 1),
        fence: 3,
    };
    let one = Spec { slots: 1, ..spec() };
    let mut owner = Owner::new(one, FENCE, BTreeSet::from(["m#1".to_string()]));
    owner.listed(now, Authority::Full, now, std::slice::from_ref(&old));
    owner.request(now, Authority::Full, request(1, 5, now, false));
    let later = now + lag;
    owner.running_reported(later, Authority::Full, &BTreeSet::new(), lag);
    let requested = Model::new("x5", 1);
    // A grant that was just issued may not have reached the engine yet.
    assert!(
        owner
            .start_permitted_load(later, Authority::Full, &requested)
            .is_empty()
    );
    owner.mark_dead(later, "m#1");
    assert_eq!(
        owner.start_permitted_load(later, Authority::Full, &requested),
        [Action::Unload(old)]
    );
}

#[test]
fn takeover_engine_still_running_evicts_nothing() {
    let now = Duration::from_secs(100);
    let lag = Duration::from_secs(5);
    let old = Name {
        model: Model::new("old", 1),
        fence: 3,
    };
    let one = Spec { slots: 1, ..spec() };
    // The entry that holds the grant is dead or suspended, so no process reports it.
    let mut owner = Owner::new(one, FENCE, BTreeSet::new());
    owner.listed(now, Authority::Full, now, std::slice::from_ref(&old));
    owner.request(now, Authority::Full, request(1, 5, now, false));
    let requested = Model::new("x5", 1);
    let running = BTreeSet::from([old.clone()]);
    owner.running_reported(now + lag, Authority::Full, &running, lag);
    assert!(
        owner
            .start_permitted_load(now + lag, Authority::Full, &requested)
            .is_empty()
    );
    owner.running_reported(now + lag, Authority::Full, &BTreeSet::new(), lag);
    assert_eq!(
        owner.start_permitted_load(now + lag, Authority::Full, &requested),
        [Action::Unload(old)]
    );
}

#[test]
fn takeover_unfenced_paused_predecessor_slot_not_used() {
    let now = Duration::from_secs(100);
    let old = Name {
        model: Model::new("x1", 1),
        fence: 3,
    };
    let mut owner = Owner::new(spec(), FENCE, BTreeSet::new()).with_adopt(false);
    owner.listed(now, Authority::Full, now, std::slice::from_ref(&old));
    let actions = owner.request(now, Authority::Full, request(1, 1, now, false));
    assert!(
        actions.is_empty(),
        "granted a copy of the previous owner: {actions:?}"
    );
    let own = Name {
        model: old.model.clone(),
        fence: FENCE,
    };
    let actions = owner.start_permitted_load(now, Authority::Full, &old.model);
    assert_eq!(actions, [Action::Load(own)]);
}

#[test]
fn frozen_grants_loaded_and_loads_nothing() {
    let now = Duration::from_secs(1);
    let mut owner = Owner::new(spec(), FENCE, BTreeSet::new());
    let loaded = Name {
        model: Model::new("x1", 1),
        fence: FENCE,
    };
    owner.listed(now, Authority::Full, now, std::slice::from_ref(&loaded));
    let granted = owner.request(now, Authority::Frozen, request(1, 1, now, false));
    assert!(matches!(granted[..], [Action::Grant(1, _)]));
    let refused = owner.request(now, Authority::Frozen, request(2, 2, now, false));
    assert!(matches!(refused[..], [Action::Refuse(2, _)]));
    owner.request(now, Authority::Full, request(3, 2, now, false));
    assert!(
        owner
            .start_permitted_load(now, Authority::Frozen, &Model::new("x2", 1))
            .is_empty()
    );
}

#[test]
fn listed_older_than_load_keeps_slot() {
    let mut owner = Owner::new(spec(), FENCE, BTreeSet::new());
    let at = |ms| Duration::from_millis(ms);
    owner.listed(at(0), Authority::Full, at(0), &[]);
    owner.request(at(1), Authority::Full, request(1, 1, at(1), false));
    let name = Name {
        model: Model::new("x1", 1),
        fence: FENCE,
    };
    owner.start_permitted_load(at(2), Authority::Full, &name.model);
    owner.loaded(at(20), Authority::Full, &name, true);
    owner.listed(at(21), Authority::Full, at(10), &[]);
    assert_eq!(
        owner.slots().get(&name).map(|slot| slot.phase),
        Some(Phase::Ready)
    );
    owner.listed(at(40), Authority::Full, at(30), &[]);
    assert!(
        owner.slots().is_empty(),
        "the slot outlived the restart of the engine"
    );
}

/// The engine may hold an adapter whose load had no response. Its slot counted as free, so that the engine could be
/// ordered to load more adapters than it has slots.
#[test]
fn load_unanswered_keeps_slot() {
    let full = Authority::Full;
    let mut owner = Owner::new(spec(), FENCE, BTreeSet::new());
    let at = |ms| Duration::from_millis(ms);
    owner.listed(at(0), full, at(0), &[]);
    let names: Vec<Name> = (0..=SLOTS)
        .map(|number| Name {
            model: Model::new(&format!("x{number}"), 1),
            fence: FENCE,
        })
        .collect();
    for number in 0..=SLOTS {
        let ticket = number as u64 + 1;
        owner.request(at(1), full, request(ticket, number, at(1), false));
    }
    for name in &names[..SLOTS] {
        owner.start_permitted_load(at(2), full, &name.model);
    }
    let actions = owner.load_unanswered(&names[0]);
    assert_eq!(actions, [Action::Unload(names[0].clone())]);
    let last = &names[SLOTS].model;
    assert_eq!(owner.start_permitted_load(at(3), full, last), []);
    owner.unloaded(at(4), full, &names[0], true);
    let actions = owner.start_permitted_load(at(5), full, last);
    assert_eq!(actions, [Action::Load(names[SLOTS].clone())]);
}

#[test]
fn request_load_past_deadline_refused_at_once() {
    let now = Duration::from_secs(1);
    let mut owner = Owner::new(spec(), FENCE, BTreeSet::new());
    let loaded = Name {
        model: Model::new("x1", 1),
        fence: FENCE,
    };
    owner.listed(now, Authority::Full, now, std::slice::from_ref(&loaded));
    let backlog = |seconds| BTreeMap::from([(Class::Draft, Duration::from_secs(seconds))]);
    owner.set_backlog(now, backlog(19));
    let waits = owner.request(now, Authority::Full, request(1, 2, now, false));
    assert!(waits.is_empty(), "there is time for the load: {waits:?}");
    owner.set_backlog(now, backlog(21));
    let joins = owner.request(now, Authority::Full, request(2, 2, now, false));
    assert!(
        joins.is_empty(),
        "another request waits for the load already: {joins:?}"
    );
    let granted = owner.request(now, Authority::Full, request(3, 1, now, false));
    assert!(matches!(granted[..], [Action::Grant(3, _)]), "{granted:?}");
    let refused = owner.request(now, Authority::Full, request(4, 3, now, false));
    let [Action::Refuse(4, refusal)] = refused[..] else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.reason, Reason::Backlog);
    assert_eq!(refusal.retry_after, Duration::from_secs(21));
    let later = now + Duration::from_secs(10);
    let waits = owner.request(later, Authority::Full, request(5, 4, later, false));
    assert!(
        waits.is_empty(),
        "an expired backlog report was applied: {waits:?}"
    );
}

#[test]
fn end_of_grant_from_before_restart_keeps_new_one_in_use() {
    let at = Duration::from_secs;
    let full = Authority::Full;
    let one = Spec { slots: 1, ..spec() };
    let mut owner = Owner::new(one, FENCE, BTreeSet::new());
    let name = Name {
        model: Model::new("x1", 1),
        fence: FENCE,
    };
    owner.listed(at(0), full, at(0), &[]);
    let serve = |owner: &mut Owner, now, ticket| {
        owner.request(now, full, request(ticket, 1, now, false));
        owner.start_permitted_load(now, full, &name.model);
        owner.loaded(now, full, &name, true)
    };
    let first = serve(&mut owner, at(1), 1);
    assert!(matches!(first[..], [Action::Grant(1, _)]), "{first:?}");
    // The engine restarts without adapters; the entry has not yet noticed that its request
    // has failed.
    owner.listed(at(2), full, at(2), &[]);
    let second = serve(&mut owner, at(3), 2);
    assert!(matches!(second[..], [Action::Grant(2, _)]), "{second:?}");
    owner.end(at(4), full, FENCE, 1);
    owner.request(at(4), full, request(3, 2, at(4), false));
    let requested = Model::new("x2", 1);
    assert!(
        owner
            .start_permitted_load(at(4), full, &requested)
            .is_empty(),
        "evicted in use"
    );
    owner.end(at(5), full, FENCE, 2);
    assert_eq!(
        owner.start_permitted_load(at(5), full, &requested),
        [Action::Unload(name)]
    );
}

#[test]
fn alone_on_busy_endpoint_runs_after_patience() {
    let at = Duration::from_secs;
    let full = Authority::Full;
    let mut owner = Owner::new(spec(), FENCE, BTreeSet::new());
    let loaded = Name {
        model: Model::new("x1", 1),
        fence: FENCE,
    };
    owner.listed(at(0), full, at(0), std::slice::from_ref(&loaded));
    let mut running: Vec<u64> = Vec::new();
    let apply = |actions: Vec<Action>, running: &mut Vec<u64>| {
        let granted = actions.into_iter().filter_map(|action| match action {
            Action::Grant(ticket, grant) => Some((ticket, grant.id)),
            _ => None,
        });
        let granted: Vec<(u64, u64)> = granted.collect();
        running.extend(granted.iter().map(|(_, id)| *id));
        granted.iter().any(|(ticket, _)| *ticket == 99)
    };
    apply(
        owner.request(at(0), full, request(1, 1, at(0), false)),
        &mut running,
    );
    let mut suspect = request(99, 1, at(0), true);
    suspect.organisation = "o9".to_string();
    apply(owner.request(at(0), full, suspect), &mut running);
    // Each second another request arrives before the previous one has ended.
    for second in 1..10 {
        let now = at(second);
        let other = owner.request(now, full, request(second + 1, 1, now, false));
        let mut ran = apply(other, &mut running);
        if !running.is_empty() {
            let id = running.remove(0);
            ran |= apply(owner.end(now, full, FENCE, id), &mut running);
        }
        if ran {
            assert_eq!(
                running.len(),
                1,
                "a request ran at the same time as the suspect"
            );
            return;
        }
    }
    panic!("the suspect never ran");
}

#[test]
fn listed_before_listing_unavailable_grants_nothing() {
    let at = Duration::from_millis;
    let full = Authority::Full;
    let mut owner = Owner::new(spec(), FENCE, BTreeSet::new());
    let loaded = Name {
        model: Model::new("x1", 1),
        fence: FENCE,
    };
    let names = std::slice::from_ref(&loaded);
    owner.listed(at(0), full, at(0), names);
    owner.listing_unavailable(at(20));
    let mut waiting = request(1, 1, at(21), false);
    waiting.wait_if_busy = true;
    assert!(owner.request(at(21), full, waiting).is_empty());
    let late = owner.listed(at(22), full, at(10), names);
    assert!(late.is_empty(), "a stale list was applied: {late:?}");
    let granted = owner.listed(at(40), full, at(30), names);
    assert!(matches!(granted[..], [Action::Grant(1, _)]), "{granted:?}");
}
