//! The operators' queries: what runs where, and why.

use std::cmp::Ordering;

use serde_json::{Map, Value};

use crate::id::Model;
use crate::line::{Line, Parsed};

/// The kinds of rows that can be listed.
pub const KINDS: [&str; 10] = [
    "adapters",
    "versions",
    "endpoints",
    "nodes",
    "organisations",
    "services",
    "rules",
    "slots",
    "loads",
    "suspects",
];

/// A row of an answer: values by column.
pub type Row = Map<String, Value>;

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// The values are equal.
    Equal,
    /// The values differ.
    NotEqual,
    /// The row's value is smaller.
    Less,
    /// The row's value is greater.
    Greater,
    /// The row's text contains the value.
    Contains,
}

/// A condition on a column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The column.
    pub column: String,
    /// The comparison.
    pub operator: Operator,
    /// The value to compare with.
    pub value: String,
}

/// A listing with conditions, an order and a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    /// One of [`KINDS`].
    pub kind: String,
    /// The conditions that a row must match.
    pub conditions: Vec<Condition>,
    /// The column to sort by, and whether the order is descending.
    pub order: Option<(String, bool)>,
    /// The maximum number of rows.
    pub limit: Option<usize>,
}

/// A query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Lists rows.
    Show(Show),
    /// Explains for each endpoint why it may or may not run an organisation's request.
    Explain {
        /// The organisation.
        organisation: String,
        /// The adapter and version.
        model: Model,
    },
    /// Reports the burn rates of the error budgets.
    Burn,
}

/// Parses a query whose first word was `verb`.
///
/// # Errors
///
/// Returns the first syntax error with its column.
pub fn parse(verb: &str, line: &mut Line) -> Parsed<Query> {
    match verb {
        "show" => Ok(Query::Show(show(line)?)),
        "explain" => {
            let model = model(line)?;
            line.keyword(&["for"])?;
            let organisation = line.word("an organisation")?;
            Ok(Query::Explain {
                organisation,
                model,
            })
        }
        _ => {
            line.keyword(&["burn"])?;
            Ok(Query::Burn)
        }
    }
}

/// Parses `ADAPTER@VERSION`.
///
/// # Errors
///
/// Returns a finding if the word has another form.
pub fn model(line: &mut Line) -> Parsed<Model> {
    let expected = "ADAPTER@VERSION";
    let word = line.word(expected)?;
    let parts = word.rsplit_once('@');
    let parsed = parts.and_then(|(adapter, version)| Some((adapter, version.parse().ok()?)));
    let (adapter, version) = parsed.ok_or_else(|| line.unexpected(expected))?;
    Ok(Model::new(adapter, version))
}

fn show(line: &mut Line) -> Parsed<Show> {
    let mut show = Show {
        kind: line.keyword(&KINDS)?,
        conditions: Vec::new(),
        order: None,
        limit: None,
    };
    while !line.is_done() {
        match line.keyword(&["where", "and", "order", "limit"])?.as_str() {
            "order" => {
                line.keyword(&["by"])?;
                let column = line.word("a column")?;
                show.order = Some((column, line.skip("desc")));
            }
            "limit" => show.limit = Some(line.number_word()?),
            _ => show.conditions.push(condition(line)?),
        }
    }
    Ok(show)
}

fn condition(line: &mut Line) -> Parsed<Condition> {
    let column = line.word("a column")?;
    let operator = match line.keyword(&["=", "!=", "<", ">", "contains"])?.as_str() {
        "=" => Operator::Equal,
        "!=" => Operator::NotEqual,
        "<" => Operator::Less,
        ">" => Operator::Greater,
        _ => Operator::Contains,
    };
    let value = line.word("a value")?;
    Ok(Condition {
        column,
        operator,
        value,
    })
}

/// Returns the rows that match a listing, in its order.
pub fn select(show: &Show, mut rows: Vec<Row>) -> Vec<Row> {
    rows.retain(|row| {
        show.conditions
            .iter()
            .all(|condition| matches(condition, row))
    });
    if let Some((column, descending)) = &show.order {
        rows.sort_by(|a, b| {
            let order = compare(&text(a.get(column)), &text(b.get(column)));
            if *descending { order.reverse() } else { order }
        });
    }
    rows.truncate(show.limit.unwrap_or(usize::MAX));
    rows
}

fn matches(condition: &Condition, row: &Row) -> bool {
    let found = text(row.get(&condition.column));
    let order = compare(&found, &condition.value);
    match condition.operator {
        Operator::Equal => order == Ordering::Equal,
        Operator::NotEqual => order != Ordering::Equal,
        Operator::Less => order == Ordering::Less,
        Operator::Greater => order == Ordering::Greater,
        Operator::Contains => found.contains(&condition.value),
    }
}

/// Compares as numbers if both values are numbers, and as text otherwise.
fn compare(a: &str, b: &str) -> Ordering {
    match (a.parse::<f64>(), b.parse::<f64>()) {
        (Ok(a), Ok(b)) => a.total_cmp(&b),
        _ => a.cmp(b),
    }
}

/// Returns a value as text for display.
pub fn text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(list)) => {
            let parts: Vec<String> = list.iter().map(|value| text(Some(value))).collect();
            parts.join(",")
        }
        Some(other) => other.to_string(),
    }
}
