//! Contradictions between the lists and the settings.
//!
//! They are reported and do not make the fold reject a change: daemons with different settings would
//! otherwise decide differently about the same record, and a new workspace needs an entry in both
//! lists, which change one after the other.

use super::{Entitlements, Plans};
use crate::fault::Fault;
use crate::settings::Settings;

/// Contradictions between both lists, and between each list and the settings.
#[must_use]
pub fn find_contradictions(
    plans: &Plans,
    entitlements: &Entitlements,
    settings: &Settings,
) -> Vec<Fault> {
    let mut faults = workspaces(plans, entitlements, settings);
    faults.extend(unknown_names(entitlements, settings));
    faults
}

fn fault(workspace: &str, key: &str, reason: String, example: &str) -> Fault {
    Fault {
        line: None,
        section: format!("workspace {workspace}"),
        key: key.to_owned(),
        reason,
        example: example.to_owned(),
    }
}

fn workspaces(plans: &Plans, entitlements: &Entitlements, settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    for name in plans.workspaces.keys() {
        if !entitlements.workspaces.contains_key(name) {
            let reason = "has a plan but no entitlements, so it may use nothing".to_owned();
            faults.push(fault(
                name,
                "",
                reason,
                "the same section in the entitlements list",
            ));
        }
        if !settings.keys.contains_key(name) {
            let reason = "has a plan but no bearer key in [keys] of the settings".to_owned();
            faults.push(fault(
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
            faults.push(fault(
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
            faults.push(fault(
                name,
                "",
                reason,
                "the same section in the plans list",
            ));
        }
    }
    faults
}

/// Names in the entitlements list that the settings do not have.
pub(crate) fn unknown_names(entitlements: &Entitlements, settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    let is_adapter = |name: &String| {
        settings
            .models
            .values()
            .any(|model| model.adapters.contains(name))
    };
    for (workspace, entitlement) in &entitlements.workspaces {
        let unknown = |names: &[String], known: &dyn Fn(&String) -> bool| -> Vec<String> {
            names.iter().filter(|name| !known(name)).cloned().collect()
        };
        let groups = [
            (
                "models",
                "model",
                unknown(&entitlement.models, &|n| settings.models.contains_key(n)),
            ),
            (
                "adapters",
                "adapter",
                unknown(&entitlement.adapters, &is_adapter),
            ),
            (
                "services",
                "service",
                unknown(&entitlement.services, &|n| {
                    settings.services.contains_key(n)
                }),
            ),
        ];
        for (key, what, unknown) in groups {
            for name in unknown {
                let reason = format!("the settings have no {what} {name:?}");
                faults.push(fault(workspace, key, reason, "a name from the settings"));
            }
        }
    }
    faults
}
