//! Faults of a settings file or an operator list.

use serde::Serialize;
use std::fmt;

/// One fault, with what a person needs to repair it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Line of the file, counted from 1. `None` if nothing in the file stands for the fault.
    pub line: Option<u32>,
    /// Section as written between the brackets. Empty for text before the first section.
    pub section: String,
    /// Key within the section. Empty if the fault concerns the section as a whole.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// A line that would be accepted in its place.
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

/// All faults of one text, in the order of its lines. Never empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Faults {
    faults: Vec<Fault>,
}

impl Faults {
    /// Sorts the faults by line and turns them into an error if there are any.
    pub(crate) fn into_result(mut faults: Vec<Fault>) -> Result<(), Self> {
        if faults.is_empty() {
            return Ok(());
        }
        faults.sort_by_key(|fault| fault.line.unwrap_or(u32::MAX));
        Err(Self { faults })
    }

    /// The faults, in the order of the lines.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.faults.iter()
    }

    /// Number of faults.
    #[must_use]
    pub fn len(&self) -> usize {
        self.faults.len()
    }

    /// Whether there is no fault.
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
