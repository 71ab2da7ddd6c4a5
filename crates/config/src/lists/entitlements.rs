//! The entitlements list: what each workspace may use.

use super::{ListRow, ListValue, WorkspaceList, parse_workspaces};
use crate::fault::Faults;
use crate::spec::ENTITLEMENTS;
use crate::stream::{ConfigChange, ConfigState};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Models, adapters and services that one workspace may use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entitlement {
    /// Names of the models that the workspace may use.
    pub models: Vec<String>,
    /// Names of the adapters that the workspace may use.
    pub adapters: Vec<String>,
    /// Names of the plain services that the workspace may call.
    pub services: Vec<String>,
}

/// The entitlements of all workspaces. A workspace that is not listed may use nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Entitlements {
    /// Entitlements by workspace name.
    pub workspaces: IndexMap<String, Entitlement>,
}

impl Entitlements {
    /// Returns whether a workspace may use a model. An unknown name is not allowed.
    #[must_use]
    pub fn allows_model(&self, workspace: &str, model: &str) -> bool {
        self.allows(workspace, model, |entitlement| &entitlement.models)
    }

    /// Returns whether a workspace may use an adapter. An unknown name is not allowed.
    #[must_use]
    pub fn allows_adapter(&self, workspace: &str, adapter: &str) -> bool {
        self.allows(workspace, adapter, |entitlement| &entitlement.adapters)
    }

    /// Returns whether a workspace may call a service. An unknown name is not allowed.
    #[must_use]
    pub fn allows_service(&self, workspace: &str, service: &str) -> bool {
        self.allows(workspace, service, |entitlement| &entitlement.services)
    }

    fn allows(&self, workspace: &str, name: &str, list: fn(&Entitlement) -> &Vec<String>) -> bool {
        self.workspaces
            .get(workspace)
            .is_some_and(|entitlement| list(entitlement).iter().any(|allowed| allowed == name))
    }
}

impl WorkspaceList for Entitlements {
    const NAME: &'static str = "entitlements";

    fn parse(text: &str) -> Result<Self, Faults> {
        parse_workspaces(text, ENTITLEMENTS, |values| Entitlement {
            models: values.names("models"),
            adapters: values.names("adapters"),
            services: values.names("services"),
        })
        .map(|workspaces| Self { workspaces })
    }

    fn rows(&self) -> Vec<ListRow> {
        let list_value = |key, names: &[String]| ListValue {
            key,
            value: names.join(", "),
        };
        let rows = self.workspaces.iter().map(|(name, entitlement)| ListRow {
            workspace: name.clone(),
            values: vec![
                list_value("models", &entitlement.models),
                list_value("adapters", &entitlement.adapters),
                list_value("services", &entitlement.services),
            ],
        });
        rows.collect()
    }

    fn in_state(state: &ConfigState) -> &Self {
        &state.entitlements
    }

    fn into_change(self) -> ConfigChange {
        ConfigChange::Entitlements(self)
    }
}
