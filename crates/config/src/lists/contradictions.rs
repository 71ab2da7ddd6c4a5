//! Contradictions between the lists and the settings.
//!
//! They are only reported; the fold of the configuration stream accepts a change in spite of them.
//! Otherwise daemons with different settings could decide differently about the same record, and a
//! new workspace could not be added, since it needs an entry in both lists, which change one after
//! the other.

use super::{Entitlements, Plans};
use crate::fault::Fault;
use crate::settings::Settings;

/// Returns the contradictions between the two lists, and between each list and the settings. The
/// faults have no line.
#[must_use]
pub fn find_contradictions(
    plans: &Plans,
    entitlements: &Entitlements,
    settings: &Settings,
) -> Vec<Fault> {
    let mut faults = check_workspaces(plans, entitlements, settings);
    faults.extend(unknown_names(entitlements, settings));
    faults
}

fn new_fault(workspace: &str, key: &str, reason: String, example: &str) -> Fault {
    Fault {
        line: None,
        section: format!("workspace {workspace}"),
        key: key.to_owned(),
        reason,
        example: example.to_owned(),
    }
}

/// Returns a fault for each workspace that has a plan, entitlements or a bearer key but lacks
/// another of them that it needs.
fn check_workspaces(plans: &Plans, entitlements: &Entitlements, settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    for name in plans.workspaces.keys() {
        if !entitlements.workspaces.contains_key(name) {
            let reason = "has a plan but no entitlements, so it may use nothing".to_owned();
            faults.push(new_fault(
                name,
                "",
                reason,
                "the same section in the entitlements list",
            ));
        }
        if !settings.keys.contains_key(name) {
            let reason = "has a plan but no bearer key in [keys] of the settings".to_owned();
            faults.push(new_fault(
                name,
                "",
                reason,
                "a key of `anvilgw key new` in [keys]",
            ));
        }
    }
    for name in entitlements.workspaces.keys() {
        if !plans.workspaces.contains_key(name) {
            let reason = "has entitlements but no plan, so its requests are rejected".to_owned();
            faults.push(new_fault(
                name,
                "",
                reason,
                "the same section in the plans list",
            ));
        }
    }
    for name in settings.keys.keys() {
        if !plans.workspaces.contains_key(name) {
            let reason = "has a bearer key in [keys] of the settings but no plan".to_owned();
            faults.push(new_fault(
                name,
                "",
                reason,
                "the same section in the plans list",
            ));
        }
    }
    faults
}

/// Returns a fault for each name in the entitlements list that the settings do not define.
pub(crate) fn unknown_names(entitlements: &Entitlements, settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    let is_adapter = |name: &String| {
        settings
            .models
            .values()
            .any(|model| model.adapters.contains(name))
    };
    for (workspace, entitlement) in &entitlements.workspaces {
        let filter_unknown = |names: &[String], known: &dyn Fn(&String) -> bool| -> Vec<String> {
            names.iter().filter(|name| !known(name)).cloned().collect()
        };
        let unknown_by_key = [
            (
                "models",
                "model",
                filter_unknown(&entitlement.models, &|name| {
                    settings.models.contains_key(name)
                }),
            ),
            (
                "adapters",
                "adapter",
                filter_unknown(&entitlement.adapters, &is_adapter),
            ),
            (
                "services",
                "service",
                filter_unknown(&entitlement.services, &|name| {
                    settings.services.contains_key(name)
                }),
            ),
        ];
        for (key, kind, unknown) in unknown_by_key {
            for name in unknown {
                let reason = format!("the settings have no {kind} {name:?}");
                faults.push(new_fault(
                    workspace,
                    key,
                    reason,
                    "a name from the settings",
                ));
            }
        }
    }
    faults
}
