//! Teams of different sizes that share all engines, and one of them at several times its usual traffic.

use std::time::Duration;

use crate::fleet::{Fleet, Outcome, Policy, play};
use crate::model::Class;
use crate::popular::{LENGTH, SEEDS, classes};

/// Engines that are half busy with prompts at the usual traffic of all teams.
const FLEET: Fleet = Fleet {
    engines: 8,
    adapters: 12,
    paces: (0.55, 1.2),
    has_moments: true,
    has_teams: true,
};
/// The teams, and the requests of each kind that usually arrive in a second.
const TEAMS: [(&str, f64); 6] = [
    ("a", 10.0),
    ("b", 5.0),
    ("c", 5.0),
    ("d", 2.5),
    ("e", 2.5),
    ("f", 1.25),
];
/// How many times its usual traffic one of them has from the fifth second on.
const SURGE: f64 = 7.0;
/// The prompt tokens above which a request is one of the longest tenth of its kind.
const LONG_TOKENS: u64 = 10_000;

/// Returns the classes of all teams. A tenth of the long prompts are twice as long; callers repeat a refused request
/// once, and those of the surging team four times.
fn team_classes(factor: f64, surging: &str) -> Vec<Class> {
    let of_team = |(team, usual): &(&'static str, f64)| {
        let is_surging = *team == surging;
        let [mut long, short] = classes(usual * factor);
        let mut longest = long.clone();
        longest.own_tokens = long.shared_tokens + 2 * long.own_tokens;
        (long.rate, longest.rate) = (usual * factor * 0.9, usual * factor * 0.1);
        [long, longest, short].map(|class| Class {
            team,
            burst: if is_surging { LENGTH } else { Duration::ZERO },
            burst_factor: SURGE,
            retries: if is_surging { 4 } else { 1 },
            ..class
        })
    };
    TEAMS.iter().flat_map(of_team).collect()
}

/// Returns the sum of the outcomes of all seeds, at `factor` times the usual traffic of all teams.
fn play_all(fleet: Fleet, factor: f64, surging: &str, has_teams: bool) -> Outcome {
    let policy = Policy {
        tells_slowdown: true,
        tells_pauses: true,
        tells_end: true,
    };
    let fleet = Fleet { has_teams, ..fleet };
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = play(seed, fleet, &team_classes(factor, surging), policy);
        for (kind, (arrived, served)) in outcome.teams {
            let kind = sum.teams.entry(kind).or_default();
            *kind = (kind.0 + arrived, kind.1 + served);
        }
        sum.in_time += outcome.in_time;
        sum.fetches += outcome.fetches;
        sum.asks += outcome.asks;
    }
    sum
}

/// Returns the share of the requests that were served, of selected teams and prompts.
fn share(outcome: &Outcome, is_counted: impl Fn(&str, u64) -> bool) -> f64 {
    let kinds = outcome.teams.iter();
    let kinds = kinds.filter(|((team, tokens), _)| is_counted(team, *tokens));
    let (arrived, served): (Vec<usize>, Vec<usize>) = kinds.map(|(_, kind)| *kind).unzip();
    served.iter().sum::<usize>() as f64 / arrived.iter().sum::<usize>() as f64
}

/// Plays without and with the teams; returns both outcomes, and the shares of all requests that were served.
fn compare(fleet: Fleet, factor: f64, surging: &str) -> ([Outcome; 2], [f64; 2]) {
    let outcomes = [false, true].map(|has_teams| play_all(fleet, factor, surging, has_teams));
    let shares = outcomes
        .each_ref()
        .map(|outcome| share(outcome, |_, _| true));
    for (outcome, share) in outcomes.iter().zip(shares) {
        let (in_time, fetches, asks) = (outcome.in_time, outcome.fetches, outcome.asks);
        println!("{surging}: {share:.3}, {in_time} in time, {fetches} fetches, {asks} asks");
    }
    (outcomes, shares)
}

/// One team at seven times its usual traffic, whose callers repeat refused requests at once, took most of the engines'
/// time, and of those that it left waiting the long prompts were served least. Without a surge, the largest team must not
/// be sent to engines that have to fetch its adapters.
#[test]
fn one_team_at_seven_times_its_usual_traffic() {
    let ([before, usual], shares) = compare(FLEET, 1.0, "");
    assert!(shares[1] >= shares[0] * 0.99, "{shares:?}");
    assert!(usual.fetches * 10 <= before.fetches * 12);
    for surging in ["a", "c"] {
        let others = |team: &str, _| team != surging;
        let ([unfair, fair], [_, all]) = compare(FLEET, 1.0, surging);
        let long = share(&fair, |_, tokens| tokens > LONG_TOKENS);
        let of_others = [&usual, &unfair, &fair].map(|outcome| share(outcome, others));
        println!("{surging}: others {of_others:.3?}, long {long:.3}");
        assert!(of_others[2] >= of_others[0] * 0.9, "{of_others:?}");
        assert!(of_others[2] > of_others[1], "{of_others:?}");
        for (team, _) in TEAMS {
            let served = share(&fair, |other, _| other == team);
            assert!(served >= all / 4.0, "{surging}: {team} {served} of {all}");
        }
        assert!(long >= all / 2.0, "{surging}: {long} of {all}");
    }
}

/// Requests that were deferred at the engines that hold their adapter were refused while others idled.
#[test]
fn surge_at_few_of_many_engines() {
    let wide = Fleet {
        engines: 24,
        adapters: 8,
        ..FLEET
    };
    let (_, shares) = compare(wide, 1.5, "a");
    assert!(shares[1] >= shares[0] * 0.97, "{shares:?}");
}
