//! Output for people and for scripts.

use serde::Serialize;
use serde_json::Value;
use std::fmt::Write;
use std::io::{self, Write as _};

/// Writes to the standard output. A reader that closes its end early, such as `head`, is no error.
pub(crate) fn print(text: &str) {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            eprintln!("anvilgw: the output cannot be written: {error}");
        }
        _ => {}
    }
}

/// Prints one JSON line.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(line) => print(&format!("{line}\n")),
        Err(error) => eprintln!("anvilgw: the result cannot be written as JSON: {error}"),
    }
}

/// Prints a table with aligned columns.
pub(crate) fn print_table(header: &[&str], rows: &[Vec<String>]) {
    print(&table(header, rows));
}

fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|&title| title.to_owned()).collect();
    let lines: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let width = |column: usize| {
        lines
            .iter()
            .filter_map(|line| line.get(column))
            .map(|cell| cell.chars().count())
            .max()
    };
    let widths: Vec<usize> = (0..header.len())
        .map(|column| width(column).unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in lines {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:width$}"));
        let _ = writeln!(text, "{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
    text
}

/// Any JSON answer for people: single values first, then one part per list or nested object.
pub(crate) fn report(value: &Value) -> String {
    let mut text = String::new();
    add_part(&mut text, "", value);
    text
}

fn add_part(text: &mut String, title: &str, value: &Value) {
    if !title.is_empty() {
        let separator = if text.is_empty() { "" } else { "\n" };
        let _ = writeln!(text, "{separator}{title}:");
    }
    match value {
        Value::Object(fields) => {
            let (single, nested): (Vec<_>, Vec<_>) =
                fields.iter().partition(|(_, value)| is_single(value));
            let rows: Vec<_> = single
                .iter()
                .map(|(key, v)| vec![key.to_string(), cell(v)])
                .collect();
            if let Some((first, rest)) = rows.split_first() {
                let first: Vec<&str> = first.iter().map(String::as_str).collect();
                text.push_str(&table(&first, rest));
            }
            for (key, value) in nested {
                let title = if title.is_empty() {
                    key.clone()
                } else {
                    format!("{title}.{key}")
                };
                add_part(text, &title, value);
            }
        }
        Value::Array(items) => text.push_str(&list(items)),
        single => {
            let _ = writeln!(text, "{}", cell(single));
        }
    }
}

/// A list of objects as a table whose columns are all keys that occur.
fn list(items: &[Value]) -> String {
    let mut columns: Vec<&str> = Vec::new();
    for key in items
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|fields| fields.keys())
    {
        if !columns.contains(&key.as_str()) {
            columns.push(key);
        }
    }
    if items.is_empty() {
        return "none\n".to_owned();
    }
    if columns.is_empty() {
        return items
            .iter()
            .map(|item| format!("{}\n", cell(item)))
            .collect();
    }
    let row = |item: &Value| columns.iter().map(|&column| cell(&item[column])).collect();
    table(&columns, &items.iter().map(row).collect::<Vec<_>>())
}

fn is_single(value: &Value) -> bool {
    match value {
        Value::Array(items) => !items.is_empty() && items.iter().all(is_scalar),
        other => is_scalar(other),
    }
}

fn is_scalar(value: &Value) -> bool {
    !matches!(value, Value::Array(_) | Value::Object(_))
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}
