//! The estimate of an engine's prefix cache under prompts of many parts.

use endivespur_core::gateway::prefix::{Cache, Part};

use crate::weights;

/// The parts of one prompt in a head of 16 KiB.
const PARTS: usize = 1500;

fn parts(prompt: usize, count: usize, tokens: u32) -> Vec<Part> {
    let part = |number| Part {
        id: format!("{:x}", prompt * PARTS + number),
        tokens,
    };
    (0..count).map(part).collect()
}

/// Parts that name no tokens were never evicted, and the process grew without end.
#[test]
fn record_parts_without_tokens() {
    let mut cache = Cache::new(280_000);
    for prompt in 0..100 {
        cache.record(&weights("a"), &parts(prompt, PARTS, 0));
        assert!(cache.part_count() <= 2048);
    }
}

/// Each part was evicted by a search through all parts: a long prompt after many small parts took minutes.
#[test]
fn record_long_prompt_after_small_parts() {
    let mut cache = Cache::new(280_000);
    for prompt in 0..128 {
        cache.record(&weights("a"), &parts(prompt, PARTS, 1));
    }
    cache.record(&weights("a"), &parts(200, 2, 95_000));
    assert_eq!(
        cache.cached_tokens(&weights("a"), &parts(200, 2, 95_000)),
        190_000
    );
}

/// Sums of parts must not wrap: the estimate would keep all parts, or none.
#[test]
fn record_largest_parts() {
    let mut cache = Cache::new(280_000);
    cache.record(&weights("a"), &parts(0, PARTS, u32::MAX));
    assert_eq!(cache.part_count(), 0);
    cache.record(&weights("a"), &parts(1, 2, 100));
    assert_eq!(cache.cached_tokens(&weights("a"), &parts(1, 2, 100)), 200);
}

/// A part that comes again with another number of tokens counted with both.
#[test]
fn record_part_of_another_length() {
    let mut cache = Cache::new(1000);
    for _ in 0..10 {
        cache.record(&weights("a"), &parts(0, 1, 300));
        cache.record(&weights("a"), &parts(0, 1, 400));
    }
    cache.record(&weights("a"), &parts(1, 1, 300));
    assert_eq!(cache.part_count(), 2);
}

#[test]
fn record_evicts_the_first_parts_last() {
    let mut cache = Cache::new(1000);
    cache.record(&weights("a"), &parts(0, 7, 100));
    cache.record(&weights("a"), &parts(1, 2, 100));
    assert_eq!(cache.cached_tokens(&weights("a"), &parts(0, 7, 100)), 500);
}

#[test]
fn invalidate_one_adapter() {
    let mut cache = Cache::new(280_000);
    cache.record(&weights("a"), &parts(0, 2, 100));
    cache.record(&weights("b"), &parts(0, 2, 100));
    cache.invalidate(&weights("a"));
    assert_eq!(cache.cached_tokens(&weights("a"), &parts(0, 2, 100)), 0);
    assert_eq!(cache.cached_tokens(&weights("b"), &parts(0, 2, 100)), 200);
}
