//! Checks that the example settings and the metrics page match the code.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use endivespur_node::settings;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn files(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut files: Vec<PathBuf> = entries
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect();
    files.sort();
    files
}

#[test]
fn examples_read_without_findings() {
    for (user, count) in [("association", 8), ("kombucha", 6)] {
        let mut vms = BTreeSet::new();
        for path in files(&root().join("examples").join(user), "json") {
            let text = std::fs::read_to_string(&path).expect("readable");
            let settings =
                settings::read(&text).unwrap_or_else(|found| panic!("{path:?}: {found:?}"));
            vms.insert(settings.vm);
        }
        assert_eq!(vms.len(), count, "{user}");
    }
}

/// Returns all Rust source files below a folder, except those in `tests` folders.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = files(folder, "rs");
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    for path in entries.map(|entry| entry.path()) {
        if path.is_dir() && !path.ends_with("tests") {
            found.extend(sources(&path));
        }
    }
    found
}

/// Returns each metric name in `text` that is enclosed in `delimiter`.
fn names(text: &str, delimiter: char) -> BTreeSet<String> {
    let prefix = "endivespur_";
    let parts = text
        .split(delimiter)
        .filter(|part| part.starts_with(prefix));
    let is_name = |part: &&str| part.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let is_metric = |part: &&str| part.ends_with("_total") || part.ends_with("_seconds");
    parts
        .filter(is_name)
        .filter(is_metric)
        .map(ToString::to_string)
        .collect()
}

#[test]
fn metrics_page_lists_each_metric() {
    let mut code = BTreeSet::new();
    for path in sources(&root().join("crates")) {
        code.extend(names(
            &std::fs::read_to_string(path).expect("readable"),
            '"',
        ));
    }
    let page = std::fs::read_to_string(root().join("docs/METRICS.md")).expect("readable");
    assert!(!code.is_empty());
    assert_eq!(code, names(&page, '`'));
}
