//! Faults of a settings file, a plans list or an entitlements list.

use serde::Serialize;
use std::fmt;

/// One fault of a text, with what its author needs to correct it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Line of the text, counted from 1. `None` if the fault has no line, such as a missing
    /// section.
    pub line: Option<u32>,
    /// Section header without its brackets. Empty for text before the first section.
    pub section: String,
    /// Key of the section. Empty if the fault concerns the section as a whole.
    pub key: String,
    /// Why the text is not accepted.
    pub reason: String,
    /// Line or value that would be accepted instead, or a hint. Empty if there is none.
    pub example: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)?;
        if !self.example.is_empty() {
            write!(f, " (example: {})", self.example)?;
        }
        Ok(())
    }
}

/// All faults of one text, in the order of its lines and those without a line last. Not empty when
/// returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Faults {
    faults: Vec<Fault>,
}

impl Faults {
    /// Returns the faults sorted by line as an error, or `Ok` if there are none.
    pub(crate) fn into_result(mut faults: Vec<Fault>) -> Result<(), Self> {
        if faults.is_empty() {
            return Ok(());
        }
        faults.sort_by_key(|fault| fault.line.unwrap_or(u32::MAX));
        Err(Self { faults })
    }

    /// Iterates over the faults in the order of their lines.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.faults.iter()
    }

    /// Returns the number of faults.
    #[must_use]
    pub fn len(&self) -> usize {
        self.faults.len()
    }

    /// Returns whether there are no faults.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }
}

impl<'a> IntoIterator for &'a Faults {
    type Item = &'a Fault;
    type IntoIter = std::slice::Iter<'a, Fault>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
