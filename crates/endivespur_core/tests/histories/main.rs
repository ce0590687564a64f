//! Differential tests: each decision against a naive version, over generated histories.

mod config;
mod order;
mod owner;
mod queue;
mod route;
mod schedule;
mod suspect;

use proptest::test_runner::{Config, RngSeed};

/// Returns the settings of a test with a fixed seed, so that its verdict never changes.
fn fixed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}
