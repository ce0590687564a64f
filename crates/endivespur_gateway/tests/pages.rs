//! Checks that docs/LOGS.md lists exactly the log events of the code.

use std::collections::BTreeSet;
use std::path::Path;

/// Returns the texts between each `mark` and the next `end`.
fn names(text: &str, mark: &str, end: char) -> BTreeSet<String> {
    text.split(mark)
        .skip(1)
        .filter_map(|part| part.split(end).next())
        .map(ToString::to_string)
        .collect()
}

#[test]
fn logs_page_lists_each_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut code = BTreeSet::new();
    for folder in ["src", "../endivespur_node/src", "../endivespurd/src"] {
        for entry in std::fs::read_dir(root.join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if path.is_file() {
                let text = std::fs::read_to_string(path).unwrap();
                code.extend(names(&text, "event = \"", '"'));
            }
        }
    }
    assert!(code.len() > 20);
    // The log queue writes this event itself when it has dropped lines.
    code.insert("log-dropped".to_string());
    let page = std::fs::read_to_string(root.join("../../docs/LOGS.md")).unwrap();
    let listed: BTreeSet<String> = page
        .lines()
        .skip_while(|line| !line.starts_with("| event"))
        .take_while(|line| line.starts_with('|'))
        .skip(2)
        .filter_map(|line| line.split('|').nth(1))
        .flat_map(|cell| names(cell, "`", '`').into_iter().collect::<Vec<_>>())
        .filter(|name| name.starts_with(|first: char| first.is_ascii_lowercase()))
        .collect();
    assert_eq!(code, listed);
}
