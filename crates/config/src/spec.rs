//! Description of sections and keys: one table decides what is accepted, what a fault message says
//! and what the reference page shows.

mod kind;
mod list;
mod reference;
mod settings;
mod validate;
mod values;

pub(crate) use kind::Kind;
pub use reference::reference_markdown;

pub(crate) use kind::{check_name, parse_number, parse_service_server, split_list};
pub(crate) use list::{ENTITLEMENTS, PLANS};
pub(crate) use settings::SETTINGS;
pub(crate) use validate::{Schema, Validated};
pub(crate) use values::Values;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeySpec {
    /// Name, with the unit as a suffix.
    pub(crate) name: &'static str,
    /// What values are accepted.
    pub(crate) kind: Kind,
    /// Value if the key is not written. `None`: the key is required. Empty: the key is optional.
    pub(crate) default: Option<&'static str>,
    /// A good value.
    pub(crate) example: &'static str,
    /// One sentence for people.
    pub(crate) about: &'static str,
}

impl KeySpec {
    /// A required key.
    const fn required(
        name: &'static str,
        kind: Kind,
        example: &'static str,
        about: &'static str,
    ) -> Self {
        Self {
            name,
            kind,
            default: None,
            example,
            about,
        }
    }

    /// A key with a default, which serves as its example too.
    const fn with_default(
        name: &'static str,
        kind: Kind,
        default: &'static str,
        about: &'static str,
    ) -> Self {
        Self {
            name,
            kind,
            default: Some(default),
            example: default,
            about,
        }
    }

    /// A key without a value unless it is written.
    const fn optional(
        name: &'static str,
        kind: Kind,
        example: &'static str,
        about: &'static str,
    ) -> Self {
        Self {
            name,
            kind,
            default: Some(""),
            example,
            about,
        }
    }
}

/// A table of keys, one per line: presence, name, kind, default or example, meaning.
macro_rules! keys {
    (@key required $name:literal, $kind:expr, $text:literal, $about:literal) => {
        $crate::spec::KeySpec::required($name, $kind, $text, $about)
    };
    (@key default $name:literal, $kind:expr, $text:literal, $about:literal) => {
        $crate::spec::KeySpec::with_default($name, $kind, $text, $about)
    };
    (@key optional $name:literal, $kind:expr, $text:literal, $about:literal) => {
        $crate::spec::KeySpec::optional($name, $kind, $text, $about)
    };
    ($table:ident => $($presence:ident $name:literal, $kind:expr, $text:literal, $about:literal;)*) => {
        const $table: &[$crate::spec::KeySpec] =
            &[$($crate::spec::keys!(@key $presence $name, $kind, $text, $about),)*];
    };
}
pub(crate) use keys;

/// How often a section occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Occurrence {
    /// Exactly once.
    Once,
    /// At most once.
    Optional,
    /// Any number of times, each with another name.
    Named,
}

/// Which keys a section accepts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Keys {
    /// These keys.
    Fixed(&'static [KeySpec]),
    /// Keys that are names chosen by the operator; all values have this kind.
    Free(KeySpec),
}

/// One kind of section.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionSpec {
    /// First word of the header.
    pub(crate) kind: &'static str,
    /// How often it occurs.
    pub(crate) occurrence: Occurrence,
    /// Its keys.
    pub(crate) keys: Keys,
    /// One sentence for people.
    pub(crate) about: &'static str,
}

impl SectionSpec {
    /// Finds a key.
    pub(crate) fn key(&self, name: &str) -> Option<&KeySpec> {
        match &self.keys {
            Keys::Fixed(keys) => keys.iter().find(|key| key.name == name),
            Keys::Free(key) => Some(key),
        }
    }
}
