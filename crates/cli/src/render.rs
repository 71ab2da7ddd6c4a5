//! Writes tables and reports for people, and JSON for scripts, to the standard output.

use serde::Serialize;
use serde_json::Value;
use std::fmt::Write;
use std::io::{self, Write as _};

/// Writes to the standard output. A reader that closes the pipe early, such as `head`, is not an
/// error.
pub(crate) fn print(text: &str) {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            eprintln!("anvilgw: the output cannot be written: {error}");
        }
        _ => {}
    }
}

/// Prints a value as one line of JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(line) => print(&format!("{line}\n")),
        Err(error) => eprintln!("anvilgw: the result cannot be written as JSON: {error}"),
    }
}

/// Prints a table with aligned columns.
pub(crate) fn print_table(header: &[&str], rows: &[Vec<String>]) {
    print(&table_text(header, rows));
}

fn table_text(header: &[&str], rows: &[Vec<String>]) -> String {
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

/// Formats any JSON value for people: single values first, then one section per list or nested
/// object.
pub(crate) fn report(value: &Value) -> String {
    let mut text = String::new();
    add_section(&mut text, "", value);
    text
}

fn add_section(text: &mut String, title: &str, value: &Value) {
    if !title.is_empty() {
        let separator = if text.is_empty() { "" } else { "\n" };
        let _ = writeln!(text, "{separator}{title}:");
    }
    match value {
        Value::Object(fields) => {
            let (single, nested): (Vec<_>, Vec<_>) =
                fields.iter().partition(|(_, value)| fits_cell(value));
            let rows: Vec<_> = single
                .iter()
                .map(|(key, value)| vec![key.to_string(), cell_text(value)])
                .collect();
            if let Some((first, rest)) = rows.split_first() {
                let first: Vec<&str> = first.iter().map(String::as_str).collect();
                text.push_str(&table_text(&first, rest));
            }
            for (key, value) in nested {
                let title = if title.is_empty() {
                    key.clone()
                } else {
                    format!("{title}.{key}")
                };
                add_section(text, &title, value);
            }
        }
        Value::Array(items) => text.push_str(&list_text(items)),
        single => {
            let _ = writeln!(text, "{}", cell_text(single));
        }
    }
}

/// Formats a list of objects as a table whose columns are all keys that occur. Other lists have one
/// line per item.
fn list_text(items: &[Value]) -> String {
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
            .map(|item| format!("{}\n", cell_text(item)))
            .collect();
    }
    let row = |item: &Value| {
        columns
            .iter()
            .map(|&column| cell_text(&item[column]))
            .collect()
    };
    table_text(&columns, &items.iter().map(row).collect::<Vec<_>>())
}

/// Returns whether a value fits into one cell: a scalar or a non-empty list of scalars.
fn fits_cell(value: &Value) -> bool {
    match value {
        Value::Array(items) => !items.is_empty() && items.iter().all(is_scalar),
        other => is_scalar(other),
    }
}

fn is_scalar(value: &Value) -> bool {
    !matches!(value, Value::Array(_) | Value::Object(_))
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell_text).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}
