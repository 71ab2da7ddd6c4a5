//! Tables of all sections and keys. Validation, fault messages, default values and the generated
//! reference page all read the same tables.

mod lists;
mod reference;
mod section_values;
mod settings;
mod validate;
mod value_kind;

pub use reference::reference_markdown;
pub(crate) use value_kind::ValueKind;

pub(crate) use lists::{ENTITLEMENTS, PLANS};
pub(crate) use section_values::SectionValues;
pub(crate) use settings::SETTINGS;
pub(crate) use validate::{Schema, ValidatedDocument};
pub(crate) use value_kind::{check_name, parse_number, parse_service_server, split_list};

/// Specification of one key of a section.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeySpec {
    /// Name of the key. A quantity has its unit as a suffix, such as `_ms`.
    pub(crate) name: &'static str,
    /// Type and range of the accepted values.
    pub(crate) value_kind: ValueKind,
    /// Value that a missing key gets. `None` means that the key is required, `Some("")` that it is
    /// optional and has no default.
    pub(crate) default: Option<&'static str>,
    /// Valid value, shown in the reference page and in fault messages.
    pub(crate) example: &'static str,
    /// Meaning of the key, shown in the reference page.
    pub(crate) description: &'static str,
}

impl KeySpec {
    /// Creates the specification of a required key.
    const fn required(
        name: &'static str,
        value_kind: ValueKind,
        example: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            name,
            value_kind,
            default: None,
            example,
            description,
        }
    }

    /// Creates the specification of a key with a default, which is its example as well.
    const fn with_default(
        name: &'static str,
        value_kind: ValueKind,
        default: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            name,
            value_kind,
            default: Some(default),
            example: default,
            description,
        }
    }

    /// Creates the specification of an optional key without a default.
    const fn optional(
        name: &'static str,
        value_kind: ValueKind,
        example: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            name,
            value_kind,
            default: Some(""),
            example,
            description,
        }
    }
}

/// Defines a constant with the keys of a section, one per line: presence (`required`, `default` or
/// `optional`), name, value kind, default or example, description.
macro_rules! keys {
    (@key required $name:literal, $value_kind:expr, $value:literal, $description:literal) => {
        $crate::spec::KeySpec::required($name, $value_kind, $value, $description)
    };
    (@key default $name:literal, $value_kind:expr, $value:literal, $description:literal) => {
        $crate::spec::KeySpec::with_default($name, $value_kind, $value, $description)
    };
    (@key optional $name:literal, $value_kind:expr, $value:literal, $description:literal) => {
        $crate::spec::KeySpec::optional($name, $value_kind, $value, $description)
    };
    ($table:ident => $($presence:ident $name:literal, $value_kind:expr, $value:literal, $description:literal;)*) => {
        const $table: &[$crate::spec::KeySpec] =
            &[$($crate::spec::keys!(@key $presence $name, $value_kind, $value, $description),)*];
    };
}
pub(crate) use keys;

/// How often a section may occur in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Occurrence {
    /// Exactly once.
    Required,
    /// At most once.
    Optional,
    /// Any number of times, each time with a different name in the header.
    Named,
}

/// Keys that a section accepts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SectionKeys {
    /// Exactly the listed keys.
    Fixed(&'static [KeySpec]),
    /// Any keys that are valid names, chosen by the operator. The specification applies to each.
    OperatorNamed(KeySpec),
}

/// Specification of one kind of section.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionSpec {
    /// First word of the section header, such as `server` in `[server porto-1]`.
    pub(crate) kind: &'static str,
    /// How often the section may occur, and whether its header has a name.
    pub(crate) occurrence: Occurrence,
    /// Keys that the section accepts.
    pub(crate) keys: SectionKeys,
    /// Meaning of the section, shown in the reference page.
    pub(crate) description: &'static str,
}

impl SectionSpec {
    /// Returns the specification of a key, or `None` if the section does not accept it.
    pub(crate) fn key(&self, name: &str) -> Option<&KeySpec> {
        match &self.keys {
            SectionKeys::Fixed(keys) => keys.iter().find(|key| key.name == name),
            SectionKeys::OperatorNamed(key) => Some(key),
        }
    }
}
