//! Receives changes from gateways that have them while this gateway's own watch of the store still brings them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::{Change, Item, Page};
use endivespur_core::gateway::source::Selector;
use endivespur_core::gateway::transfer::Transfer;
use endivespur_core::id::Vm;
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::info;
use smol::Timer;

use crate::message::Update;
use crate::state::State;
use crate::{apply, fetch, peer};

/// How long a watch may bring a long response before other gateways are asked: a link of 10 Mbit/s carries half of the
/// largest value meanwhile, so that watchers with equally fast links rarely send it to each other.
const DELAY: Duration = Duration::from_millis(600);
/// The pause between two rounds of requests: each takes a few small messages, and the followers wait for the outcome.
const ROUND_PAUSE: Duration = Duration::from_millis(150);

/// Returns once this gateway has received all changes that the store had made when the response began, from other
/// watchers. `started_revision` is the one after which the watch requests changes.
pub async fn receive(state: &Rc<State>, started_revision: u64) {
    Timer::after(DELAY).await;
    // A gateway that has received less may be one whose own watch brings the same value.
    let cursor = state.feed.borrow().cursor();
    let revision = cursor.small_revision.max(started_revision + 1);
    let selector = Selector::new(&state.settings.vm, &state.settings.zone);
    let started = clock::now();
    let mut transfers = BTreeMap::new();
    for round in 0.. {
        let gateways = state.catalog.borrow().gateways();
        let watchers = selector.watchers(round, &gateways);
        if let Some((vm, page)) = first_ahead(state, watchers).await
            && follow(state, &vm, page, revision, &mut transfers).await
        {
            info!(
                event = "overtaken", vm = vm.as_str(), revision,
                took_ms = clock::now().saturating_sub(started).as_millis() as u64;
                "changes received from another gateway before the store's response"
            );
            return;
        }
        Timer::after(ROUND_PAUSE).await;
    }
}

/// Asks gateways at once; returns the first that has received more than this one, with its changes.
async fn first_ahead(state: &Rc<State>, vms: Vec<Vm>) -> Option<(Vm, Page)> {
    let requests = vms.into_iter().map(|vm| async move {
        let page = changes(state, &vm).await;
        page.map(|page| (vm, page))
    });
    let mut requests: FuturesUnordered<_> = requests.collect();
    while let Some(answer) = requests.next().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Requests the changes that another gateway has already received; returns `None` if there are none.
async fn changes(state: &Rc<State>, vm: &str) -> Option<Page> {
    let address = state.catalog.borrow().peer(vm)?.address;
    let (after, complete) = {
        let feed = state.feed.borrow();
        (feed.cursor(), feed.complete_revision())
    };
    let (wait, limit) = (Duration::ZERO, peer::TRIAL_TIME);
    match peer::changes(state, address, after, complete, wait, limit).await {
        Ok(Update::Changes(Change::Changes(page), _)) if page.revision > after.revision => {
            Some(page)
        }
        _ => None,
    }
}

/// Applies a page of a gateway's changes, and the next ones, up to a revision; returns whether it has them all.
async fn follow(
    state: &Rc<State>,
    vm: &str,
    first: Page,
    revision: u64,
    transfers: &mut BTreeMap<String, Transfer>,
) -> bool {
    let mut next = Some(first);
    while let Some(mut page) = next {
        let Some(items) = values(state, vm, &page, transfers).await else {
            return false;
        };
        // The followers of this gateway learn of a large value once they can request it here.
        page.items.extend(items);
        page.large.clear();
        apply::apply(state, page);
        if state.feed.borrow().revision() >= revision {
            return true;
        }
        next = changes(state, vm).await;
    }
    false
}

/// Receives the large values that a page names; `None` if the gateway does not send all of them.
async fn values(
    state: &Rc<State>,
    vm: &str,
    page: &Page,
    transfers: &mut BTreeMap<String, Transfer>,
) -> Option<Vec<Item>> {
    let mut items = Vec::new();
    for (key, revision) in &page.large {
        let is_known = state.feed.borrow().key_revision(key) >= Some(*revision);
        if !is_known {
            let transfer = transfers.entry(key.clone()).or_default();
            let item = fetch::receive(state, vm, key, *revision, transfer, clock::now()).await?;
            items.push(item);
        }
    }
    Some(items)
}
