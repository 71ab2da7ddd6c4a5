//! The plans list.

use super::{ListRow, ListValue, WorkspaceList, parse_workspaces};
use crate::fault::Faults;
use crate::spec::{PLANS, SectionValues};
use crate::stream::{ConfigChange, ConfigState};
use anvilgw_core::WorkspaceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Which work starts first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// Starts only when no interactive work waits.
    Batch,
}

impl Priority {
    /// Name in the plans list.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

/// What one workspace may use, over all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Requests per second.
    pub requests_per_s: u32,
    /// Prompt and generated tokens per second.
    pub tokens_per_s: u32,
    /// Requests that may arrive at once.
    pub burst_requests: u32,
    /// Tokens that may be asked for at once.
    pub burst_tokens: u32,
    /// Requests that run at once.
    pub concurrency: u32,
    /// Share of capacity under contention, relative to other workspaces.
    pub weight: u32,
    /// Which work starts first.
    pub priority: Priority,
}

/// The plans of all workspaces. The order numbers them by [`WorkspaceId`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Plans {
    /// Plan of each workspace.
    pub workspaces: IndexMap<String, Plan>,
}

impl Plans {
    /// Number of a workspace. Holds for this version of the list only.
    #[must_use]
    pub fn workspace_id(&self, name: &str) -> Option<WorkspaceId> {
        let index = self.workspaces.get_index_of(name)?;
        u32::try_from(index).ok().map(WorkspaceId)
    }
}

impl WorkspaceList for Plans {
    const NAME: &'static str = "plans";

    fn parse(text: &str) -> Result<Self, Faults> {
        parse_workspaces(text, PLANS, plan).map(|workspaces| Self { workspaces })
    }

    fn rows(&self) -> Vec<ListRow> {
        let rows = self.workspaces.iter().map(|(name, plan)| ListRow {
            workspace: name.clone(),
            values: values(plan),
        });
        rows.collect()
    }

    fn in_state(state: &ConfigState) -> &Self {
        &state.plans
    }

    fn into_change(self) -> ConfigChange {
        ConfigChange::Plans(self)
    }
}

fn plan(values: &SectionValues<'_>) -> Plan {
    Plan {
        requests_per_s: values.integer("requests_per_s"),
        tokens_per_s: values.integer("tokens_per_s"),
        burst_requests: values.integer("burst_requests"),
        burst_tokens: values.integer("burst_tokens"),
        concurrency: values.integer("concurrency"),
        weight: values.integer("weight"),
        priority: match values.text("priority") {
            "batch" => Priority::Batch,
            _ => Priority::Interactive,
        },
    }
}

fn values(plan: &Plan) -> Vec<ListValue> {
    let number = |key, number: u32| ListValue {
        key,
        value: number.to_string(),
    };
    vec![
        number("requests_per_s", plan.requests_per_s),
        number("tokens_per_s", plan.tokens_per_s),
        number("burst_requests", plan.burst_requests),
        number("burst_tokens", plan.burst_tokens),
        number("concurrency", plan.concurrency),
        number("weight", plan.weight),
        ListValue {
            key: "priority",
            value: plan.priority.as_str().to_owned(),
        },
    ]
}
