//! The reference of all keys as Markdown.

use super::{ENTITLEMENTS, KeySpec, Keys, Occurrence, PLANS, SETTINGS, SectionSpec};
use std::fmt::Write;

/// All sections and keys of the settings file and of the operators' lists, as Markdown tables.
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
        Occurrence::Once => (section.kind.to_owned(), "Required."),
        Occurrence::Optional => (section.kind.to_owned(), "Optional."),
        Occurrence::Named => (format!("{} NAME", section.kind), "One section per name."),
    };
    let _ = write!(
        page,
        "### `[{header}]`\n\n{} {occurrence}\n\n",
        section.about
    );
    page.push_str("| key | values | default | example | meaning |\n|---|---|---|---|---|\n");
    match section.keys {
        Keys::Fixed(keys) => keys.iter().for_each(|key| write_key(page, key)),
        Keys::Free(key) => write_key(page, &key),
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
        key.name, key.kind, key.example, key.about
    );
}
