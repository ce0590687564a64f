//! Each engine has one owner, also after kills and restarts, and if the store's changes arrive out
//! of order.

use assert_matches::assert_matches;
use endivespur_core::gateway::ownership::{Claim, Claims, Decision, RANK_DELAY};

use crate::ms;

const VMS: [&str; 3] = ["a", "b", "c"];

fn claim(vm: &str, process: &str, fence: u64) -> Claim {
    Claim {
        vm: vm.to_string(),
        process: process.to_string(),
        fence,
    }
}

fn decide(claims: &mut Claims, now: u64, vm: &str) -> Decision {
    let process = format!("{vm}#1");
    claims.decide(ms(now), "e", (vm, &process), VMS.into_iter())
}

#[test]
fn decide_unowned_one_at_a_time() {
    let mut claims = Claims::new();
    let decisions = VMS.map(|vm| decide(&mut claims, 0, vm));
    let at_once = decisions
        .iter()
        .filter(|decision| **decision == Decision::Claim(0));
    assert_eq!(at_once.count(), 1);
}

#[test]
fn decide_first_in_rank_does_not_claim() {
    let mut claims = Claims::new();
    let waiting = VMS.map(|vm| decide(&mut claims, 0, vm));
    let later = RANK_DELAY.as_millis() as u64;
    for (vm, decision) in VMS.iter().zip(waiting) {
        if let Decision::Wait(at) = decision
            && at <= ms(later)
        {
            assert_eq!(decide(&mut claims, later, vm), Decision::Claim(0));
        }
    }
}

#[test]
fn decide_owner_of_an_earlier_process() {
    let mut claims = Claims::new();
    claims.set(ms(0), "e", 7, Some(claim("a", "a#0", 7)));
    assert_eq!(decide(&mut claims, 0, "a"), Decision::Claim(7));
    assert_eq!(decide(&mut claims, 10_000, "b"), Decision::Owned);
}

#[test]
fn decide_vm_that_is_not_listed() {
    let mut claims = Claims::new();
    let decision = claims.decide(ms(0), "e", ("z", "z#1"), VMS.into_iter());
    assert_matches!(decision, Decision::Wait(at) if at == RANK_DELAY * 4);
}

#[test]
fn set_older_revision() {
    let mut claims = Claims::new();
    claims.set(ms(0), "e", 9, Some(claim("a", "a#1", 9)));
    claims.set(ms(1), "e", 8, None);
    assert_eq!(claims.get("e").map(|claim| claim.fence), Some(9));
    claims.set(ms(2), "e", 10, None);
    assert_eq!(claims.get("e"), None);
}

/// After the store has lost its claims, their owners may go on for as long as their leases would have
/// lasted. Another VM must wait for that long, unless it was the owner itself.
#[test]
fn hold_after_lost_claims() {
    let mut claims = Claims::new();
    claims.set(ms(0), "other", 5, Some(claim("vm-2", "vm-2#1", 5)));
    claims.set(ms(0), "own", 5, Some(claim("vm-1", "vm-1#1", 5)));
    claims.set(ms(0), "other", 6, None);
    claims.set(ms(0), "own", 6, None);
    claims.hold(ms(2_000), "vm-1#1");
    let mut decide = |now, endpoint| {
        let vms = ["vm-1"].into_iter();
        claims.decide(ms(now), endpoint, ("vm-1", "vm-1#1"), vms)
    };
    assert_eq!(decide(1, "own"), Decision::Claim(0));
    assert_eq!(decide(1, "other"), Decision::Wait(ms(2_000)));
    assert_eq!(decide(2_000, "other"), Decision::Claim(0));
}

/// The owner may learn by its lease that its claims are gone, before it learns that the store came back from a copy.
#[test]
fn hold_after_own_lease_lapsed() {
    let mut claims = Claims::new();
    claims.set(ms(0), "e", 5, Some(claim("a", "a#1", 5)));
    claims.set(ms(0), "e", u64::MAX, None);
    claims.set(ms(300), "e", 6, None);
    claims.hold(ms(1_800), "a#1");
    let latest = RANK_DELAY * 2;
    match decide(&mut claims, 300, "a") {
        Decision::Claim(0) => {}
        decision => assert_matches!(decision, Decision::Wait(at) if at <= latest),
    }
}
