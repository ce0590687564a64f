//! The files of this crate use each other in one direction only.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

type Graph = BTreeMap<String, BTreeSet<String>>;

/// Returns the modules that a source names after `crate::`.
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

/// Removes what uses nothing that is left, over and over; what remains lies on circles.
fn circles(mut graph: Graph) -> Graph {
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
fn files_without_circles() {
    let graph = graph();
    assert!(graph["generate"].contains("relay"), "the graph is read");
    for (name, uses) in &graph {
        println!("{name}: {uses:?}");
    }
    assert_eq!(circles(graph), Graph::new());
}

#[test]
fn circles_found() {
    let graph = Graph::from([
        ("a".to_string(), uses("use crate::b::B;")),
        ("b".to_string(), uses("use crate::{c, a};")),
        ("c".to_string(), uses("")),
    ]);
    assert_eq!(circles(graph).len(), 2);
}
