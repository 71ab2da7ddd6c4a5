//! Generation of the reference page of all sections and keys.

use super::{ENTITLEMENTS, KeySpec, Occurrence, PLANS, SETTINGS, SectionKeys, SectionSpec};
use std::fmt::Write;

/// Returns the reference of all sections and keys of the settings file, the plans list and the
/// entitlements list, as Markdown tables.
#[must_use]
pub fn reference_markdown() -> String {
    let mut page = String::new();
    for (title, schema) in [
        ("Settings file", SETTINGS),
        ("Plans list", PLANS),
        ("Entitlements list", ENTITLEMENTS),
    ] {
        let _ = write!(page, "## {title}\n\n");
        for section in schema {
            write_section(&mut page, section);
        }
    }
    page
}

fn write_section(page: &mut String, section: &SectionSpec) {
    let (header, occurrence) = match section.occurrence {
        Occurrence::Required => (section.kind.to_owned(), "Required."),
        Occurrence::Optional => (section.kind.to_owned(), "Optional."),
        Occurrence::Named => (format!("{} NAME", section.kind), "One section per name."),
    };
    let _ = write!(
        page,
        "### `[{header}]`\n\n{} {occurrence}\n\n",
        section.description
    );
    page.push_str("| key | values | default | example | meaning |\n|---|---|---|---|---|\n");
    match section.keys {
        SectionKeys::Fixed(keys) => keys.iter().for_each(|key| write_key(page, key)),
        SectionKeys::OperatorNamed(key) => write_key(page, &key),
    }
    page.push('\n');
}

fn write_key(page: &mut String, key: &KeySpec) {
    let default = match key.default {
        None => "required".to_owned(),
        Some("") => "none".to_owned(),
        Some(value) => format!("`{value}`"),
    };
    let _ = writeln!(
        page,
        "| `{}` | {} | {default} | `{}` | {} |",
        key.name, key.value_kind, key.example, key.description
    );
}
