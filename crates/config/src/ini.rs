//! INI parser that keeps line numbers and finds all syntax errors.
//!
//! `rust-ini` stops at the first syntax error and keeps no line numbers. All entries are on one
//! line each, so each line is parsed on its own.

use crate::fault::Fault;
use ini::Ini;

/// One entry `key = value`.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: u32,
}

/// One section with its entries, which may repeat a key. The header `[server porto-1]` has the kind
/// `server` and the name `porto-1`.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    /// Text between the brackets, with single spaces.
    pub(crate) header: String,
    pub(crate) line: u32,
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// Returns the first word of the header.
    pub(crate) fn kind(&self) -> &str {
        self.header
            .split_once(char::is_whitespace)
            .map_or(self.header.as_str(), |(kind, _)| kind)
    }

    /// Returns the header without its first word, or `None` if it has only one.
    pub(crate) fn name(&self) -> Option<&str> {
        self.header
            .split_once(char::is_whitespace)
            .map(|(_, name)| name.trim())
    }

    /// Returns the first entry with this key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// Sections of a text, in order, and its syntax errors.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    pub(crate) sections: Vec<Section>,
    pub(crate) faults: Vec<Fault>,
}

enum Line {
    Header(String),
    Entry(String, String),
}

impl Document {
    pub(crate) fn parse(text: &str) -> Self {
        let mut document = Self::default();
        for (index, text) in text.trim_start_matches('\u{feff}').lines().enumerate() {
            let line = u32::try_from(index + 1).unwrap_or(u32::MAX);
            let text = text.trim();
            if !text.is_empty() && !text.starts_with([';', '#']) {
                document.add_line(line, text);
            }
        }
        document
    }

    /// Returns the line of a key, or of its section if the key is not written. `None` if there is
    /// no such section.
    pub(crate) fn line_of(&self, section: &str, key: &str) -> Option<u32> {
        let section = self
            .sections
            .iter()
            .find(|candidate| candidate.header == section)?;
        Some(section.entry(key).map_or(section.line, |entry| entry.line))
    }

    fn add_section(&mut self, line: u32, header: &str) {
        self.sections.push(Section {
            header: header.split_whitespace().collect::<Vec<_>>().join(" "),
            line,
            entries: Vec::new(),
        });
    }

    fn add_line(&mut self, line: u32, text: &str) {
        match parse_line(text) {
            Ok(Line::Header(header)) => self.add_section(line, &header),
            Ok(Line::Entry(key, value)) => match self.sections.last_mut() {
                Some(section) => section.entries.push(Entry { key, value, line }),
                None => self.faults.push(Fault {
                    line: Some(line),
                    key,
                    reason: "the key is before the first section".to_owned(),
                    example: "[daemon]".to_owned(),
                    ..Fault::default()
                }),
            },
            Err(reason) => {
                let malformed_header = text.strip_prefix('[');
                if let Some(rest) = malformed_header {
                    // The section is kept, since the keys that follow belong to it and not to the
                    // one before.
                    let header = rest.split(']').next().unwrap_or_default();
                    self.add_section(line, header);
                }
                self.faults.push(Fault {
                    line: Some(line),
                    section: self
                        .sections
                        .last()
                        .map_or_else(String::new, |s| s.header.clone()),
                    reason,
                    example: if malformed_header.is_some() {
                        "[log]"
                    } else {
                        "key = value"
                    }
                    .to_owned(),
                    ..Fault::default()
                });
            }
        }
    }
}

fn parse_line(text: &str) -> Result<Line, String> {
    // `rust-ini` accepts a header without a closing bracket or with text after it.
    if text.starts_with('[') && (!text.ends_with(']') || text.matches(']').count() > 1) {
        return Err("a section header is one pair of brackets on a line of its own".to_owned());
    }
    let ini =
        Ini::load_from_str_noescape(text).map_err(|error| format!("not INI: {}", error.msg))?;
    if let Some(header) = ini.sections().flatten().next() {
        return Ok(Line::Header(header.to_owned()));
    }
    ini.general_section()
        .iter()
        .next()
        .map(|(key, value)| Line::Entry(key.to_owned(), value.to_owned()))
        .ok_or_else(|| "neither a section header nor `key = value`".to_owned())
}
