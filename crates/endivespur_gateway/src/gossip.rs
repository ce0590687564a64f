//! What gateways tell each other while the store refuses some of them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::{Instance, Weights};
use endivespur_core::gateway::ownership::Claim;
use endivespur_core::id::{Endpoint, Fence, Version, Vm};
use log::{debug, info};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::catalog::Peer;
use crate::peer;
use crate::state::State;

/// How long the store may be silent before another gateway is asked: two failed calls.
const SILENCE: Duration = Duration::from_millis(500);
/// The time between two questions.
const EVERY: Duration = Duration::from_millis(400);

/// What a gateway knows from the store.
#[derive(Serialize, Deserialize)]
struct Known {
    claims: BTreeMap<Endpoint, Claim>,
    peers: BTreeMap<Vm, Peer>,
    endpoints: Vec<Instance>,
    versions: Vec<(Weights, Version)>,
}

/// Starts to ask other gateways whenever the store is away.
pub fn start(state: &Rc<State>) {
    state.spawn(run(state.clone()));
}

async fn run(state: Rc<State>) {
    let mut turn = 0;
    loop {
        Timer::after(EVERY).await;
        let lost = state.store_lost.get();
        let is_silent = lost.is_some_and(|since| since + SILENCE <= clock::now());
        if is_silent && !state.is_stopping.get() {
            turn += 1;
            ask(&state, turn).await;
        }
    }
}

/// Asks the gateways in turn.
async fn ask(state: &Rc<State>, turn: usize) {
    let others: Vec<_> = {
        let catalog = state.catalog.borrow();
        let others = catalog
            .peers()
            .filter(|(_, peer)| peer.process != state.process);
        others.map(|(_, peer)| peer.address).collect()
    };
    let Some(address) = others.get(turn % others.len().max(1)) else {
        return;
    };
    let Ok(text) = peer::known(state, *address).await else {
        return;
    };
    match serde_json::from_str::<Known>(&text) {
        Ok(known) => apply(state, known),
        Err(error) => debug!(event = "gossip"; "nothing learned: {error}"),
    }
}

/// Returns what this gateway knows, or an empty text while the store is away for it too.
pub fn known(state: &State) -> String {
    if state.store_lost.get().is_some() {
        return String::new();
    }
    let catalog = state.catalog.borrow();
    let claims = state.claims.borrow();
    let known = Known {
        claims: claims
            .iter()
            .map(|(endpoint, claim)| (endpoint.clone(), claim.clone()))
            .collect(),
        peers: catalog
            .peers()
            .map(|(vm, peer)| (vm.clone(), peer.clone()))
            .collect(),
        endpoints: catalog
            .endpoints()
            .map(|instance| Instance::clone(instance))
            .collect(),
        versions: catalog
            .versions()
            .map(|(weights, version)| (weights.clone(), *version))
            .collect(),
    };
    serde_json::to_string(&known).unwrap_or_else(|error| {
        info!(event = "gossip"; "not encoded: {error}");
        String::new()
    })
}

/// Takes what another gateway knows; a claim only if it is newer.
fn apply(state: &State, known: Known) {
    let now = clock::now();
    let mut changed = 0;
    {
        let mut claims = state.claims.borrow_mut();
        let ended: Vec<Endpoint> = claims
            .iter()
            .filter(|(endpoint, _)| !known.claims.contains_key(*endpoint))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        changed += ended.len();
        for endpoint in ended {
            claims.set(now, &endpoint, Fence::MAX, None);
        }
        for (endpoint, claim) in known.claims {
            changed += usize::from(claims.get(&endpoint) != Some(&claim));
            claims.set(now, &endpoint, claim.fence, Some(claim));
        }
    }
    let mut catalog = state.catalog.borrow_mut();
    for (vm, peer) in known.peers {
        catalog.set_peer(&vm, Some(peer));
    }
    let listed: BTreeSet<Endpoint> = known
        .endpoints
        .iter()
        .map(|instance| instance.id.clone())
        .collect();
    let gone: Vec<Endpoint> = catalog
        .endpoints()
        .filter(|instance| !listed.contains(&instance.id))
        .map(|instance| instance.id.clone())
        .collect();
    for endpoint in gone {
        catalog.remove_endpoint(now, &endpoint);
    }
    for instance in known.endpoints {
        catalog.set_endpoint(instance);
    }
    for (weights, version) in known.versions {
        state.owners.announce(&weights, version);
        catalog.set_version(weights, version);
    }
    drop(catalog);
    if changed > 0 {
        info!(event = "gossip", claims = changed; "learned from another gateway");
    }
    state.notify();
}
