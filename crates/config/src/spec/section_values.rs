//! Typed access to the values of one section of a document.

use super::value_kind::parse_integer;
use super::{Schema, parse_number, split_list};
use crate::ini::Section;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Values of one section, with the defaults of the schema for keys that are not written.
///
/// A value that does not parse reads as zero, empty or `None`, and so does a key that is neither
/// written nor has a default. Validation reports such values as faults, and nothing that was read
/// from a text with faults is returned to the caller.
pub(crate) struct SectionValues<'a> {
    schema: Schema,
    kind: &'a str,
    section: Option<&'a Section>,
}

impl<'a> SectionValues<'a> {
    /// `section` is `None` if the text has no section of this kind.
    pub(crate) fn new(schema: Schema, kind: &'a str, section: Option<&'a Section>) -> Self {
        Self {
            schema,
            kind,
            section,
        }
    }

    /// Returns the value of a key as written, or its default.
    pub(crate) fn text(&self, key: &str) -> &'a str {
        let written = self.section.and_then(|section| section.entry(key));
        written
            .map(|entry| entry.value.as_str())
            .unwrap_or_else(|| {
                let spec = self.schema.iter().find(|spec| spec.kind == self.kind);
                spec.and_then(|spec| spec.key(key))
                    .and_then(|key| key.default)
                    .unwrap_or("")
            })
    }

    pub(crate) fn string(&self, key: &str) -> String {
        self.text(key).to_owned()
    }

    pub(crate) fn integer<T: TryFrom<u64> + Default>(&self, key: &str) -> T {
        parse_integer(self.text(key))
            .and_then(|number| T::try_from(number).ok())
            .unwrap_or_default()
    }

    pub(crate) fn number(&self, key: &str) -> f64 {
        parse_number(self.text(key)).unwrap_or_default()
    }

    /// Returns whether the value is `yes`.
    pub(crate) fn yes_no(&self, key: &str) -> bool {
        self.text(key) == "yes"
    }

    /// Returns the items of a list of names.
    pub(crate) fn names(&self, key: &str) -> Vec<String> {
        split_list(self.text(key)).map(str::to_owned).collect()
    }

    /// Returns an address, or `0.0.0.0:0` if the value does not parse.
    pub(crate) fn address(&self, key: &str) -> SocketAddr {
        self.optional_address(key)
            .unwrap_or(SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0))
    }

    pub(crate) fn optional_address(&self, key: &str) -> Option<SocketAddr> {
        self.text(key).parse().ok()
    }

    pub(crate) fn addresses(&self, key: &str) -> Vec<SocketAddr> {
        split_list(self.text(key))
            .filter_map(|item| item.parse().ok())
            .collect()
    }
}
