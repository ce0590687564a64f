//! Differential tests: each decision is compared with a naive implementation over
//! generated histories.

mod config;
mod feed;
mod hedge;
mod order;
mod owner;
mod ownership;
mod placement;
mod queue;
mod route;
mod schedule;
mod suspect;

use proptest::test_runner::{Config, RngSeed};

/// Returns the settings of a test with a fixed seed, so that its result is reproducible.
fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}
