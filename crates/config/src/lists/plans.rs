//! The plans list: rates, concurrency and priority of each workspace.

use super::{ListRow, ListValue, WorkspaceList, parse_workspaces};
use crate::fault::Faults;
use crate::spec::{PLANS, SectionValues};
use crate::stream::{ConfigChange, ConfigState};
use anvilgw_core::WorkspaceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Class of the requests of a workspace, which decides what starts first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the answer. Starts before all batch work.
    #[default]
    Interactive,
    /// Starts only when no interactive work waits for admission.
    Batch,
}

impl Priority {
    /// Returns the name of the priority in the plans list.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

/// Limits and priority of one workspace. The limits hold over all daemons together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Sustained rate of requests per second.
    pub requests_per_s: u32,
    /// Sustained rate of prompt and generated tokens per second.
    pub tokens_per_s: u32,
    /// Requests that may arrive at once after an idle period.
    pub burst_requests: u32,
    /// Tokens that may be requested at once after an idle period.
    pub burst_tokens: u32,
    /// Requests that may run at the same time.
    pub concurrency: u32,
    /// Share of capacity under contention, relative to other workspaces.
    pub weight: u32,
    /// Priority of all requests of the workspace.
    pub priority: Priority,
}

/// The plans of all workspaces. The position of a workspace is its [`WorkspaceId`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Plans {
    /// Plans by workspace name.
    pub workspaces: IndexMap<String, Plan>,
}

impl Plans {
    /// Returns the id of a workspace, or `None` if it has no plan. The id is valid for this version
    /// of the list only.
    #[must_use]
    pub fn workspace_id(&self, name: &str) -> Option<WorkspaceId> {
        let index = self.workspaces.get_index_of(name)?;
        u32::try_from(index).ok().map(WorkspaceId)
    }
}

impl WorkspaceList for Plans {
    const NAME: &'static str = "plans";

    fn parse(text: &str) -> Result<Self, Faults> {
        parse_workspaces(text, PLANS, read_plan).map(|workspaces| Self { workspaces })
    }

    fn rows(&self) -> Vec<ListRow> {
        let rows = self.workspaces.iter().map(|(name, plan)| ListRow {
            workspace: name.clone(),
            values: list_values(plan),
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

fn read_plan(values: &SectionValues<'_>) -> Plan {
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

fn list_values(plan: &Plan) -> Vec<ListValue> {
    let number_value = |key, number: u32| ListValue {
        key,
        value: number.to_string(),
    };
    vec![
        number_value("requests_per_s", plan.requests_per_s),
        number_value("tokens_per_s", plan.tokens_per_s),
        number_value("burst_requests", plan.burst_requests),
        number_value("burst_tokens", plan.burst_tokens),
        number_value("concurrency", plan.concurrency),
        number_value("weight", plan.weight),
        ListValue {
            key: "priority",
            value: plan.priority.as_str().to_owned(),
        },
    ]
}
