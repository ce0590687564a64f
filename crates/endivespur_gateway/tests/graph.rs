//! Checks that the modules of this crate do not depend on each other in cycles.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

type Graph = BTreeMap<String, BTreeSet<String>>;

/// Returns the modules that a source file names after `crate::`.
fn uses(text: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for part in text.split("crate::").skip(1) {
        let names = match part.strip_prefix('{') {
            Some(list) => list.split('}').next().unwrap_or_default(),
            None => part.split([':', ';', ' ', '\n']).next().unwrap_or_default(),
        };
        let first = |name: &str| {
            name.trim()
                .split("::")
                .next()
                .unwrap_or_default()
                .to_string()
        };
        found.extend(names.split(',').map(first).filter(|name| !name.is_empty()));
    }
    found
}

fn graph() -> Graph {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut graph = Graph::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).unwrap();
        if name != "lib" {
            graph.insert(name, uses(&text));
        }
    }
    graph
}

/// Repeatedly removes modules that use none of the remaining ones; returns the modules that are on
/// a cycle or depend on one.
fn cycles(mut graph: Graph) -> Graph {
    loop {
        let leaf = graph
            .iter()
            .find(|(_, uses)| uses.iter().all(|name| !graph.contains_key(name)))
            .map(|(name, _)| name.clone());
        match leaf {
            Some(name) => graph.remove(&name),
            None => return graph,
        };
    }
}

#[test]
fn modules_without_cycles() {
    let graph = graph();
    assert!(
        graph["generate"].contains("relay"),
        "the graph lacks a known dependency"
    );
    for (name, uses) in &graph {
        println!("{name}: {uses:?}");
    }
    assert_eq!(cycles(graph), Graph::new());
}

#[test]
fn cycles_found() {
    let graph = Graph::from([
        ("a".to_string(), uses("use crate::b::B;")),
        ("b".to_string(), uses("use crate::{c, a};")),
        ("c".to_string(), uses("")),
    ]);
    assert_eq!(cycles(graph).len(), 2);
}
