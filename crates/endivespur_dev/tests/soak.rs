//! A short soak test; `endivespur_dev soak` runs longer ones.

use endivespur_dev::process;
use endivespur_stand::soak;

/// Runs rounds with the faults that the seed generates.
fn run(seed: u64, has_teams: bool, rounds: usize, gateways: usize) {
    let folder = std::env::temp_dir().join(format!(
        "endivespur-soak-{}-{seed}-{has_teams}",
        std::process::id()
    ));
    let options = soak::Options {
        program: process::build().unwrap().join("endivespurd"),
        earlier_program: None,
        folder: folder.clone(),
        seed,
        has_teams,
        rounds,
        gateways,
        is_verbose: true,
    };
    let requests = soak::run(&options).unwrap();
    assert!(requests > 500, "{requests} requests");
    std::fs::remove_dir_all(folder).unwrap();
}

/// With seed 3 all gateways are killed while the store answers none of them. A part of prompts that
/// crashes engines was released when a request that crashed them too had been in flight beside it.
#[test]
fn run_short() {
    run(3, false, 2, 3);
}

/// The probes of one caller shared each endpoint with two requests that crash endpoints, and were
/// quarantined with them.
#[test]
fn run_polls_beside_crashes() {
    run(101, false, 3, 3);
}

/// The store comes back from a copy beside other faults.
#[test]
fn run_restored_store() {
    run(301, false, 2, 3);
}

/// A gateway is cut off from the engines, but knows other addresses of the plain endpoints, as it has
/// followed another gateway: connections to these showed that its links worked.
#[test]
fn run_partly_cut_off() {
    run(1, false, 1, 4);
}

/// Keys of a team change beside other faults: a removed key must not run, and no endpoint sees a key.
#[test]
fn run_teams() {
    run(1, true, 1, 3);
}
