//! The two lists that operators maintain for all workspaces: plans and entitlements.
//!
//! Both are INI texts with one section `[workspace NAME]` per workspace. A change always replaces a
//! whole list.

mod contradictions;
mod entitlements;
mod plans;

pub(crate) use contradictions::unknown_names;

pub use contradictions::find_contradictions;
pub use entitlements::{Entitlement, Entitlements};
pub use plans::{Plan, Plans, Priority};

use crate::fault::{Fault, Faults};
use crate::spec::{Schema, SectionValues, ValidatedDocument};
use crate::stream::{ConfigChange, ConfigState};
use indexmap::IndexMap;
use serde::Serialize;
use std::fmt::Write;

/// One key of a workspace in a list, with its value as text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListValue {
    /// Name of the key in the INI text.
    pub key: &'static str,
    /// Value as it is written in the INI text.
    pub value: String,
}

/// One workspace of a list, with its values as text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListRow {
    /// Name of the workspace.
    pub workspace: String,
    /// Values of all keys, in the order of the reference page.
    pub values: Vec<ListValue>,
}

/// A value that differs between two versions of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListDifference {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the key in the INI text.
    pub key: &'static str,
    /// Value in the first version. `None` if that version does not have the workspace.
    pub before: Option<String>,
    /// Value in the second version. `None` if that version does not have the workspace.
    pub after: Option<String>,
}

/// Operations on the plans list and the entitlements list.
pub trait WorkspaceList: Sized + Eq {
    /// Name of the list, which is its subcommand of the command line tool.
    const NAME: &'static str;

    /// Parses and validates the list from an INI text.
    ///
    /// # Errors
    ///
    /// All faults of the text, with their lines.
    fn parse(text: &str) -> Result<Self, Faults>;

    /// Returns the workspaces in the order of the list.
    fn rows(&self) -> Vec<ListRow>;

    /// Returns this list of a configuration.
    fn in_state(state: &ConfigState) -> &Self;

    /// Returns the change that replaces the current list by this one.
    fn into_change(self) -> ConfigChange;

    /// Returns the list as an INI text, which [`Self::parse`] reads back unchanged.
    fn to_ini(&self) -> String {
        let mut text = String::new();
        for row in self.rows() {
            let separator = if text.is_empty() { "" } else { "\n" };
            let _ = writeln!(text, "{separator}[workspace {}]", row.workspace);
            for ListValue { key, value } in row.values {
                let _ = writeln!(text, "{key} = {value}");
            }
        }
        text
    }

    /// Returns the differences from this version to `after`, in the order of the workspaces: first
    /// those of this version, then new ones.
    fn diff(&self, after: &Self) -> Vec<ListDifference> {
        diff_rows(&self.rows(), &after.rows())
    }

    /// Checks a list that was not read from an INI text, with the same rules.
    ///
    /// # Errors
    ///
    /// All faults. Their lines are those of [`Self::to_ini`].
    fn check(&self) -> Result<(), Faults> {
        // Writing and parsing applies the table of keys. A name with a line break would add lines
        // to the text, so the parsed list differs and the comparison finds it.
        if Self::parse(&self.to_ini())? == *self {
            return Ok(());
        }
        Faults::into_result(vec![Fault {
            reason: "a name contains characters that are not allowed".to_owned(),
            example: "[workspace clube-foz]".to_owned(),
            ..Fault::default()
        }])
    }
}

fn diff_rows(before: &[ListRow], after: &[ListRow]) -> Vec<ListDifference> {
    type Versions<'a> = (Option<&'a ListRow>, Option<&'a ListRow>);
    let mut workspaces: IndexMap<&str, Versions<'_>> = IndexMap::new();
    for row in before {
        workspaces.entry(&row.workspace).or_default().0 = Some(row);
    }
    for row in after {
        workspaces.entry(&row.workspace).or_default().1 = Some(row);
    }
    let value =
        |row: Option<&ListRow>, index: usize| row.map(|row| row.values[index].value.clone());
    workspaces
        .into_iter()
        .flat_map(|(workspace, (before, after))| {
            let keys = before.or(after).map_or(&[][..], |row| &row.values);
            keys.iter()
                .enumerate()
                .map(move |(index, key)| ListDifference {
                    workspace: workspace.to_owned(),
                    key: key.key,
                    before: value(before, index),
                    after: value(after, index),
                })
        })
        .filter(|difference| difference.before != difference.after)
        .collect()
}

/// Validates a text and reads its sections `[workspace NAME]` in order.
fn parse_workspaces<T>(
    text: &str,
    schema: Schema,
    read: impl Fn(&SectionValues<'_>) -> T,
) -> Result<IndexMap<String, T>, Faults> {
    let validated = ValidatedDocument::new(text, schema);
    Faults::into_result(validated.faults)?;
    let workspaces = validated.document.sections.iter().filter_map(|section| {
        let values = SectionValues::new(schema, "workspace", Some(section));
        section.name().map(|name| (name.to_owned(), read(&values)))
    });
    Ok(workspaces.collect())
}
