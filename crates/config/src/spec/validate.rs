//! Validation of a document against a schema.

use super::{KeySpec, Occurrence, SectionKeys, SectionSpec};
use crate::fault::Fault;
use crate::ini::{Document, Section};
use crate::spec::value_kind::check_name;

/// Unit suffixes of key names. A suffix that ends with another one comes first, so that
/// `_bytes_per_s` is found before `_s`.
const UNITS: &[&str] = &[
    "_bytes_per_s",
    "_per_s",
    "_per_min",
    "_bytes",
    "_kb",
    "_mb",
    "_gb",
    "_ms",
    "_us",
    "_min",
    "_s",
    "_h",
];

/// Specifications of the sections that a text may have.
pub(crate) type Schema = &'static [SectionSpec];

/// A parsed document with all faults of its syntax, its sections and its single values.
/// Contradictions between values are found later, see `settings::contradictions`.
#[derive(Debug)]
pub(crate) struct ValidatedDocument {
    pub(crate) document: Document,
    pub(crate) faults: Vec<Fault>,
}

impl ValidatedDocument {
    pub(crate) fn new(text: &str, schema: Schema) -> Self {
        let mut document = Document::parse(text);
        let mut faults = std::mem::take(&mut document.faults);
        for (index, section) in document.sections.iter().enumerate() {
            check_header(section, &document.sections[..index], schema, &mut faults);
            if let Some(spec) = find_spec(schema, section.kind()) {
                check_entries(section, spec, &mut faults);
            }
        }
        for spec in schema
            .iter()
            .filter(|spec| spec.occurrence == Occurrence::Required)
        {
            if !document
                .sections
                .iter()
                .any(|section| section.kind() == spec.kind)
            {
                faults.push(Fault {
                    section: spec.kind.to_owned(),
                    reason: "the section is missing".to_owned(),
                    example: format!("[{}]", spec.kind),
                    ..Fault::default()
                });
            }
        }
        Self { document, faults }
    }

    /// Returns whether a key, or its section as a whole, has a fault. Contradictions between values
    /// are reported only if each value is valid by itself. If `section` is only a section kind,
    /// such as `server`, whole-section faults of all sections of that kind count.
    pub(crate) fn has_fault(&self, section: &str, key: &str) -> bool {
        let concerns_key = |fault: &Fault| {
            let whole_section = fault.key.is_empty()
                && (fault.section == section || fault.section.split(' ').next() == Some(section));
            whole_section || (fault.section == section && fault.key == key)
        };
        self.faults.iter().any(concerns_key)
    }
}

fn find_spec(schema: Schema, kind: &str) -> Option<&'static SectionSpec> {
    schema.iter().find(|spec| spec.kind == kind)
}

fn check_header(section: &Section, earlier: &[Section], schema: Schema, faults: &mut Vec<Fault>) {
    let mut report = |reason: String, example: String| {
        faults.push(Fault {
            line: Some(section.line),
            section: section.header.clone(),
            reason,
            example,
            ..Fault::default()
        });
    };
    let Some(spec) = find_spec(schema, section.kind()) else {
        let kinds: Vec<_> = schema.iter().map(|spec| spec.kind).collect();
        report(
            format!("unknown section; known are {}", kinds.join(", ")),
            format!("[{}]", kinds[0]),
        );
        return;
    };
    match (spec.occurrence, section.name()) {
        (Occurrence::Named, None) => {
            report(
                "the section needs a name".to_owned(),
                format!("[{} NAME]", spec.kind),
            );
        }
        (Occurrence::Named, Some(name)) => {
            if let Err(reason) = check_name(name) {
                report(reason, format!("[{} north-1]", spec.kind));
            }
        }
        (_, Some(_)) => {
            report(
                "the section takes no name".to_owned(),
                format!("[{}]", spec.kind),
            );
        }
        (_, None) => {}
    }
    if let Some(first) = earlier.iter().find(|other| other.header == section.header) {
        report(
            format!("the section was already given on line {}", first.line),
            format!("one section [{}]", section.header),
        );
    }
}

fn check_entries(section: &Section, spec: &SectionSpec, faults: &mut Vec<Fault>) {
    for (index, entry) in section.entries.iter().enumerate() {
        let mut report = |reason: String, example: String| {
            faults.push(Fault {
                line: Some(entry.line),
                section: section.header.clone(),
                key: entry.key.clone(),
                reason,
                example,
            });
        };
        let earlier = section.entries[..index]
            .iter()
            .find(|other| other.key == entry.key);
        if let Some(first) = earlier {
            report(
                format!("the key was already given on line {}", first.line),
                format!("one line `{} = ...`", entry.key),
            );
            continue;
        }
        let Some(key) = spec.key(&entry.key) else {
            let (reason, example) = describe_unknown_key(&entry.key, spec);
            report(reason, example);
            continue;
        };
        if matches!(spec.keys, SectionKeys::OperatorNamed(_))
            && let Err(reason) = check_name(&entry.key)
        {
            report(reason, format!("north = {}", key.example));
        }
        let optional_and_empty = entry.value.is_empty() && key.default == Some("");
        if !optional_and_empty && let Err(reason) = key.value_kind.check(&entry.value) {
            report(reason, format!("{} = {}", entry.key, key.example));
        }
    }
    check_missing_keys(section, spec, faults);
}

fn check_missing_keys(section: &Section, spec: &SectionSpec, faults: &mut Vec<Fault>) {
    let SectionKeys::Fixed(keys) = spec.keys else {
        return;
    };
    let missing = |key: &&KeySpec| key.default.is_none() && section.entry(key.name).is_none();
    for key in keys.iter().filter(missing) {
        faults.push(Fault {
            line: Some(section.line),
            section: section.header.clone(),
            key: key.name.to_owned(),
            reason: "the key is missing".to_owned(),
            example: format!("{} = {}", key.name, key.example),
        });
    }
}

fn describe_unknown_key(name: &str, spec: &SectionSpec) -> (String, String) {
    let SectionKeys::Fixed(keys) = spec.keys else {
        return ("unknown key".to_owned(), String::new());
    };
    match keys
        .iter()
        .find(|key| without_unit(key.name) == without_unit(name))
    {
        Some(key) => (
            format!("unknown key; the unit is part of the name: `{}`", key.name),
            format!("{} = {}", key.name, key.example),
        ),
        None => {
            let names: Vec<_> = keys.iter().map(|key| key.name).collect();
            (
                format!("unknown key; known are {}", names.join(", ")),
                keys.first()
                    .map_or_else(String::new, |key| format!("{} = {}", key.name, key.example)),
            )
        }
    }
}

/// Returns the name of a key without its unit suffix.
fn without_unit(name: &str) -> &str {
    UNITS
        .iter()
        .find_map(|unit| name.strip_suffix(unit))
        .unwrap_or(name)
}
