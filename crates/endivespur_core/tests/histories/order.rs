//! Attempts at the same call, interleaved in any order, with a store that loses answers.

use std::collections::VecDeque;

use endivespur_core::order::{Attempt, Event, Found, Record, Reply, State, Step, StoredResponse};
use proptest::prelude::*;

use crate::fixed_seed;

/// The store's record of one key, and the attempts that the endpoint has run.
#[derive(Default)]
struct World {
    revision: u64,
    found: Option<Found>,
    runs: Vec<String>,
}

/// An attempt with the steps that are still to be carried out.
struct Client {
    attempt: Attempt,
    steps: VecDeque<Step>,
    reply: Option<Reply>,
    dead: bool,
    dispatched: bool,
}

impl Client {
    fn new(number: usize) -> Self {
        let record = Record::new(&format!("a{number}"), &format!("n{number}"), 1, 7);
        Self {
            attempt: Attempt::new(record),
            steps: VecDeque::from([Step::Read]),
            reply: None,
            dead: false,
            dispatched: false,
        }
    }

    /// Carries out one step under a fault and returns the event that the attempt receives.
    fn carry_out(&mut self, world: &mut World, step: Step, fault: u8) -> Option<Event> {
        let mine = self.attempt.record().clone();
        match step {
            Step::Read | Step::ReadBack if fault == 1 => Some(Event::ReadFailed),
            Step::Read | Step::ReadBack => Some(Event::Read(world.found.clone())),
            Step::Acquire if fault == 1 => Some(Event::Refused),
            Step::Acquire => Some(Event::Granted),
            Step::Claim => Some(claim(world, mine, fault)),
            Step::Dispatch => Some(self.dispatch(world, fault)),
            Step::Finish(state, expected_revision) => {
                write(world, mine.with_state(state), expected_revision);
                None
            }
            Step::Abandon => {
                if world
                    .found
                    .as_ref()
                    .is_some_and(|(_, record)| *record == mine)
                {
                    world.found = None;
                }
                None
            }
            Step::Reply(reply) => {
                self.reply = Some(reply);
                None
            }
        }
    }

    fn dispatch(&mut self, world: &mut World, fault: u8) -> Event {
        self.dispatched = true;
        if fault == 1 {
            return Event::NotRun;
        }
        world.runs.push(self.attempt.record().attempt.clone());
        if fault == 2 {
            return Event::Lost;
        }
        Event::Responded(StoredResponse {
            status: 200,
            media: String::new(),
            body: format!("run {}", world.runs.len()),
        })
    }
}

fn claim(world: &mut World, mine: Record, fault: u8) -> Event {
    // Fault 1 loses the write, fault 2 the store's answer to it.
    if fault == 1 {
        return Event::ClaimLost;
    }
    if world.found.is_some() {
        return if fault == 2 {
            Event::ClaimLost
        } else {
            Event::Conflict(world.found.clone())
        };
    }
    world.revision += 1;
    world.found = Some((world.revision, mine));
    if fault == 2 {
        return Event::ClaimLost;
    }
    Event::Claimed(world.revision)
}

fn write(world: &mut World, record: Record, expected_revision: u64) {
    if world
        .found
        .as_ref()
        .is_some_and(|(revision, _)| *revision == expected_revision)
    {
        world.revision += 1;
        world.found = Some((world.revision, record));
    }
}

fn run(steps: &[(usize, u8, bool)]) -> (World, Vec<Client>) {
    let mut world = World::default();
    let mut clients: Vec<Client> = (0..4).map(Client::new).collect();
    for (number, fault, kill) in steps {
        let dead: Vec<bool> = clients.iter().map(|client| client.dead).collect();
        let is_live = |vm: &str, _: u64| !dead[vm[1..].parse::<usize>().unwrap_or(0)];
        let client = &mut clients[*number];
        if client.dead || client.reply.is_some() {
            continue;
        }
        if *kill {
            client.dead = true;
            continue;
        }
        let Some(step) = client.steps.pop_front() else {
            continue;
        };
        if let Some(event) = client.carry_out(&mut world, step, *fault) {
            let steps = client.attempt.on(event, is_live);
            client.steps.extend(steps);
        }
    }
    (world, clients)
}

proptest! {
    #![proptest_config(fixed_seed(20_000))]

    #[test]
    fn attempts_any_order_run_once(
        steps in prop::collection::vec((0usize..4, 0u8..4, prop::bool::weighted(0.04)), 1..80),
    ) {
        let (world, clients) = run(&steps);
        prop_assert!(world.runs.len() <= 1, "ran {:?}", world.runs);
        for client in &clients {
            match &client.reply {
                Some(Reply::LedgerUnavailable | Reply::NoEndpoint | Reply::Mismatch) => {
                    let name = &client.attempt.record().attempt;
                    prop_assert!(!world.runs.contains(name), "{} ran but was reported as not run", name);
                }
                Some(Reply::Ran(response) | Reply::Replayed(response)) => {
                    prop_assert_eq!(&response.body, "run 1");
                }
                Some(Reply::Running | Reply::Unknown) | None => {}
            }
        }
    }
}

#[test]
fn attempts_claim_answer_lost_runs() {
    let steps: Vec<(usize, u8, bool)> = [0, 0, 2, 0, 0, 0, 0].map(|fault| (0, fault, false)).into();
    let (world, clients) = run(&steps);
    assert_eq!(world.runs, ["a0"]);
    assert!(matches!(clients[0].reply, Some(Reply::Ran(_))));
}

#[test]
fn attempts_resend_after_lost_answer_unknown() {
    let mut steps: Vec<(usize, u8, bool)> =
        [0, 0, 0, 2, 0, 0].map(|fault| (0, fault, false)).into();
    steps.extend([(1, 0, false); 4]);
    let (world, clients) = run(&steps);
    assert_eq!(world.runs, ["a0"]);
    assert_eq!(clients[1].reply, Some(Reply::Unknown));
    assert!(matches!(
        world.found,
        Some((
            _,
            Record {
                state: State::Unknown,
                ..
            }
        ))
    ));
}
