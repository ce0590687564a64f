//! Claims endpoints without an owner, and hands over those that other nodes should own.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::id::Endpoint;
use endivespur_core::member::{Claim, OWNERS_PREFIX, Takeover, TakeoverDelay};
use endivespur_net::store::{Outcome, Pair, Write};
use log::warn;

use crate::adopt;
use crate::clock;
use crate::node::{Node, sleep};
use crate::sync;

/// The interval at which endpoints to claim or hand over are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The number of checks for which an endpoint is kept after another node should own it.
const SETTLE_CHECKS: u32 = 15;
/// The maximum number of endpoints claimed or handed over in one call to the store.
const MAX_BATCH: usize = 64;
/// The maximum number of endpoints handed over per check.
const MAX_HANDOVERS: usize = 2;

/// Claims and hands over endpoints until the future is dropped.
pub async fn run(node: Rc<Node>) {
    let mut surplus_checks = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        if !may_claim(&node) {
            surplus_checks = 0;
            continue;
        }
        let needs_check = node.table.borrow_mut().needs_check();
        if !needs_check && surplus_checks == 0 {
            continue;
        }
        claim(&node).await;
        let surplus = surplus(&node);
        surplus_checks = if surplus.is_empty() {
            0
        } else {
            surplus_checks + 1
        };
        if surplus_checks > SETTLE_CHECKS {
            let handed_over = surplus.into_iter().take(MAX_HANDOVERS).collect();
            release(&node, handed_over).await;
        }
    }
}

fn may_claim(node: &Node) -> bool {
    !node.stopping.get() && node.lease.borrow().may_claim(clock::now())
}

/// Returns the owned endpoints that other nodes should own.
fn surplus(node: &Node) -> Vec<Endpoint> {
    let table = node.table.borrow();
    table.surplus(
        &node.settings.vm,
        node.incarnation.get(),
        &node.settings.region,
    )
}

/// Claims the endpoints without an owner that this node should own.
async fn claim(node: &Rc<Node>) {
    let wait = TakeoverDelay {
        margin: node.settings.lease.margin,
        ttl: node.settings.lease.ttl,
    };
    let mut takeovers = node.table.borrow_mut().takeovers(
        &node.config.borrow(),
        &node.settings.vm,
        &node.settings.region,
        clock::now(),
        wait,
    );
    takeovers.truncate(MAX_BATCH);
    if takeovers.is_empty() {
        return;
    }
    let incarnation = node.incarnation.get();
    let endpoints = takeovers
        .iter()
        .map(|takeover| (takeover.endpoint.clone(), takeover.expected_revision));
    let outcomes = write(node, endpoints.collect(), false).await;
    for (takeover, outcome) in takeovers.into_iter().zip(outcomes) {
        if let Outcome::Written(fence) = outcome
            && incarnation == node.incarnation.get()
        {
            record_clean_takeover(node, &takeover, fence);
        }
    }
    adopt::reconcile(node);
}

/// Records a takeover as clean if the previous owner has ended or released the endpoint, or its VM
/// is gone.
///
/// The new owner then uses the adapters that its predecessor loaded.
fn record_clean_takeover(node: &Node, takeover: &Takeover, fence: u64) {
    let previous = node
        .table
        .borrow()
        .owner(&takeover.endpoint)
        .map(|(_, c)| c.vm.clone());
    let gone = previous.is_some_and(|vm| node.gone.borrow().contains(&vm));
    if takeover.clean || gone {
        node.clean_takeovers
            .borrow_mut()
            .insert(takeover.endpoint.clone(), fence);
    }
}

/// Releases endpoints, so that their next owners need not wait for the lease to expire.
pub async fn release(node: &Rc<Node>, endpoints: Vec<Endpoint>) {
    let fences: Vec<(Endpoint, u64)> = {
        let table = node.table.borrow();
        endpoints
            .into_iter()
            .filter_map(|name| table.owner(&name).map(|(fence, _)| (name.clone(), fence)))
            .collect()
    };
    for batch in fences.chunks(MAX_BATCH) {
        for (endpoint, _) in batch {
            crate::host::close(node, endpoint);
        }
        write(node, batch.to_vec(), true).await;
    }
    adopt::reconcile(node);
}

/// Overwrites ownership records that have not changed since they were read, and applies the records
/// that the store then contains.
async fn write(node: &Rc<Node>, endpoints: Vec<(Endpoint, u64)>, released: bool) -> Vec<Outcome> {
    let claim = Claim {
        vm: node.settings.vm.clone(),
        incarnation: node.incarnation.get(),
        address: node.address.clone(),
        released,
    };
    let value = serde_json::json!(claim).to_string();
    let writes: Vec<Write> = endpoints
        .iter()
        .map(|(name, expected_revision)| {
            Write::new(&format!("{OWNERS_PREFIX}{name}"), &value)
                .with_expected_revision(*expected_revision)
        })
        .collect();
    let outcomes = match node.store.write(&writes).await {
        Ok(outcomes) => outcomes,
        Err(error) => {
            // If the write took effect, its records arrive over the watch.
            warn!(event = "claim"; "{error}");
            return Vec::new();
        }
    };
    for (write, outcome) in writes.iter().zip(&outcomes) {
        let pair = match outcome {
            Outcome::Written(revision) => Some(Pair {
                key: write.key.clone(),
                value: write.value.clone(),
                revision: *revision,
            }),
            Outcome::Conflict(found) => found.clone(),
        };
        if let Some(pair) = pair {
            sync::apply(node, pair);
        }
    }
    outcomes
}
