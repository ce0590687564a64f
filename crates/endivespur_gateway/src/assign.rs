//! Selects the gateway that gives out the tokens and the room of an endpoint.

use std::net::SocketAddr;

use endivespur_core::hash;

use crate::state::State;

/// Where the tokens and the room of an endpoint are given out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// In this process.
    Here,
    /// By the gateway that listens at this address.
    Peer(SocketAddr),
}

/// Returns the gateway that gives out the tokens and the room of an endpoint, by rendezvous hashing over the
/// known VMs; `None` if its address is not known.
pub fn locate(state: &State, endpoint: &str) -> Option<Location> {
    let catalog = state.catalog.borrow();
    let vms = catalog.peers().map(|(vm, _)| vm.as_str());
    let Some(vm) = hash::winner(endpoint, vms) else {
        return Some(Location::Here);
    };
    if vm == state.settings.vm {
        return Some(Location::Here);
    }
    let peer = catalog.peer(vm)?;
    Some(Location::Peer(peer.address))
}
