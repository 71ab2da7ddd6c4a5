//! The operators' two lists: plans and entitlements.
//!
//! Both are INI texts with one section `[workspace NAME]` per workspace. A list always replaces the
//! whole list before it.

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

/// One key of a workspace and its value as text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListValue {
    /// Key in the list.
    pub key: &'static str,
    /// Value as it is written in the list.
    pub value: String,
}

/// One workspace of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListRow {
    /// Name of the workspace.
    pub workspace: String,
    /// Its values, in the order of the reference page.
    pub values: Vec<ListValue>,
}

/// A difference between two versions of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListDifference {
    /// Name of the workspace.
    pub workspace: String,
    /// Key in the list.
    pub key: &'static str,
    /// Value in the first version. `None` if it does not have the workspace.
    pub before: Option<String>,
    /// Value in the second version. `None` if it does not have the workspace.
    pub after: Option<String>,
}

/// What both lists have in common.
pub trait WorkspaceList: Sized + Eq {
    /// Name of the list as it is used on the command line.
    const NAME: &'static str;

    /// Reads the list from an INI text.
    ///
    /// # Errors
    ///
    /// All faults of the text.
    fn parse(text: &str) -> Result<Self, Faults>;

    /// The workspaces, in order.
    fn rows(&self) -> Vec<ListRow>;

    /// This list within a configuration.
    fn in_state(state: &ConfigState) -> &Self;

    /// The change that puts this list in the place of the current one.
    fn into_change(self) -> ConfigChange;

    /// Writes the list as an INI text.
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

    /// Differences from this version to `after`, in the order of the workspaces.
    fn diff(&self, after: &Self) -> Vec<ListDifference> {
        diff_rows(&self.rows(), &after.rows())
    }

    /// Checks a list that did not come from an INI text, with the same rules.
    ///
    /// # Errors
    ///
    /// All faults.
    fn check(&self) -> Result<(), Faults> {
        // Writing and reading back applies the table of keys. A name that would break out of its
        // line gives another list, so the comparison finds it.
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
    type Sides<'a> = (Option<&'a ListRow>, Option<&'a ListRow>);
    let mut workspaces: IndexMap<&str, Sides<'_>> = IndexMap::new();
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

/// Reads the sections `[workspace NAME]` of a text.
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
