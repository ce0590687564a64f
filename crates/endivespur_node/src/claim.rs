//! Claiming endpoints that nobody owns, and handing over those that others should own.

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

/// The time between two looks for free endpoints.
const LOOK: Duration = Duration::from_millis(200);
/// The looks for which an endpoint stays where it is after another node should own it.
const SETTLE_LOOKS: u32 = 15;
/// The most endpoints claimed or handed over in one call.
const BATCH: usize = 64;
/// The most endpoints handed over in one look.
const HANDOVERS: usize = 2;

/// Claims and hands over until the future is dropped.
pub async fn run(node: Rc<Node>) {
    let mut settled = 0;
    loop {
        sleep(LOOK).await;
        if !may_claim(&node) {
            settled = 0;
            continue;
        }
        let look = node.table.borrow_mut().needs_check();
        if !look && settled == 0 {
            continue;
        }
        claim(&node).await;
        let surplus = surplus(&node);
        settled = if surplus.is_empty() { 0 } else { settled + 1 };
        if settled > SETTLE_LOOKS {
            let some = surplus.into_iter().take(HANDOVERS).collect();
            release(&node, some).await;
        }
    }
}

fn may_claim(node: &Node) -> bool {
    !node.stopping.get() && node.lease.borrow().may_claim(clock::now())
}

fn surplus(node: &Node) -> Vec<Endpoint> {
    let table = node.table.borrow();
    table.surplus(
        &node.settings.vm,
        node.incarnation.get(),
        &node.settings.region,
    )
}

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
    takeovers.truncate(BATCH);
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
            note_clean(node, &takeover, fence);
        }
    }
    adopt::reconcile(node);
}

fn note_clean(node: &Node, takeover: &Takeover, fence: u64) {
    let previous = node
        .table
        .borrow()
        .owner(&takeover.endpoint)
        .map(|(_, c)| c.vm.clone());
    let gone = previous.is_some_and(|vm| node.gone.borrow().contains(&vm));
    if takeover.clean || gone {
        node.clean
            .borrow_mut()
            .insert(takeover.endpoint.clone(), fence);
    }
}

/// Gives endpoints up, so that their successors need not wait.
pub async fn release(node: &Rc<Node>, endpoints: Vec<Endpoint>) {
    let fences: Vec<(Endpoint, u64)> = {
        let table = node.table.borrow();
        endpoints
            .into_iter()
            .filter_map(|name| table.owner(&name).map(|(fence, _)| (name.clone(), fence)))
            .collect()
    };
    for part in fences.chunks(BATCH) {
        for (endpoint, _) in part {
            crate::host::close(node, endpoint);
        }
        write(node, part.to_vec(), true).await;
    }
    adopt::reconcile(node);
}

/// Writes ownership records over the known ones and applies what stands then.
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
        .map(|(name, over)| {
            Write::new(&format!("{OWNERS_PREFIX}{name}"), &value).with_expected_revision(*over)
        })
        .collect();
    let outcomes = match node.store.write(&writes).await {
        Ok(outcomes) => outcomes,
        Err(error) => {
            // A write that took effect comes over the watch.
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
