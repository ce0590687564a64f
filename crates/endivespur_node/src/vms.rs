//! Follows the platform's list of VMs, which lags behind their state.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_net::client;
use log::{debug, info};

use crate::adopt;
use crate::node::{Node, sleep};

/// The maximum wait for the list.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the list until the future is dropped.
pub async fn follow(node: Rc<Node>) {
    let Some(settings) = node.settings.vms.clone() else {
        return;
    };
    loop {
        let address = settings.address.to_string();
        match client::get_json(&address, "/vms", TIMEOUT).await {
            Ok(list) => apply(&node, &list),
            Err(error) => debug!("vms: the list was not read: {error}"),
        }
        sleep(settings.interval).await;
    }
}

fn apply(node: &Rc<Node>, list: &serde_json::Value) {
    let states = |wanted: &[&str]| -> BTreeSet<String> {
        let vms = list["vms"].as_array().cloned().unwrap_or_default();
        vms.iter()
            .filter(|vm| {
                vm["state"]
                    .as_str()
                    .is_some_and(|state| wanted.contains(&state))
            })
            .filter_map(|vm| Some(vm["name"].as_str()?.to_string()))
            .collect()
    };
    let leaving = states(&["leaving", "gone"]);
    let gone = states(&["gone"]);
    if *node.leaving.borrow() == leaving && *node.gone.borrow() == gone {
        return;
    }
    info!(event = "endpoint", leaving:? = leaving; "list of leaving VMs changed");
    *node.leaving.borrow_mut() = leaving;
    *node.gone.borrow_mut() = gone;
    adopt::reconcile(node);
}
