//! Applies the configuration: limits of workspaces, capacities of budgets and which failure domains
//! and instances are out of service.

use crate::context::Context;
use crate::duties::admission::PlanUsage;
use crate::duties::control::{BudgetKind, MILLI};
use anvilgw_admission::{PlanLimits, PlanShare, Priority};
use anvilgw_config::{BackendServer, ConfigState, Plan, Priority as PlanPriority};
use anvilgw_core::{ServerId, WorkspaceId};
use anvilgw_fleet::{OwnedResource, Split};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which this daemon's shares of plans and capacity are passed to admission.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the task that applies each new configuration. It ends when `stop` becomes true.
pub(crate) fn start(context: &Arc<Context>, stop: &watch::Receiver<bool>) {
    let context = Arc::clone(context);
    let mut stop = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = follow_config(&context) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    });
}

async fn follow_config(context: &Context) {
    let mut changes = context.control.watch_config();
    // Finding the owners takes a hash for each member and partition, so it is done once per epoch.
    let mut owned_epoch = 0;
    loop {
        let config = Arc::clone(&changes.borrow_and_update());
        apply_config(context, &config);
        let mut unchanged = true;
        while unchanged {
            record_usage(context, &config).await;
            set_limits(context, &config);
            // Version 0 is the empty configuration: no configuration was read yet, or none was
            // published.
            if config.version > 0 {
                context.config_applied.store(true, Ordering::Release);
            }
            set_capacity(context, &config);
            let share = 1.0 / f64::from(fleet_size(context));
            context.routing.set_link_share(share);
            let epoch = context.control.view().epoch.number;
            if owned_epoch != epoch {
                owned_epoch = epoch;
                context
                    .claims
                    .set_owned_partitions(owned_partitions(context));
            }
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    unchanged = false;
                }
                () = tokio::time::sleep(SHARE_INTERVAL) => {}
            }
        }
    }
}

fn apply_config(context: &Context, config: &ConfigState) {
    let settings = &context.settings;
    let domains_out = config
        .domains_out
        .iter()
        .filter_map(|name| settings.domain_id(name))
        .collect();
    let servers_out = context
        .backends
        .iter()
        .filter(|backend| config.instances_out.contains(&backend.name))
        .map(|backend| backend.id)
        .collect::<Vec<ServerId>>();
    context.routing.set_out_of_service(domains_out, servers_out);
    context
        .budgets
        .set_capacity(BudgetKind::Retries, Split::Even, retry_capacity(context));
    let slots = total_capacity(context, config).slots;
    context
        .budgets
        .set_capacity(BudgetKind::Slots, Split::Even, slots.into());
    for (workspace, plan) in workspace_plans(context, config) {
        let requests = u64::from(plan.requests_per_s) * MILLI;
        let tokens = plan.tokens_per_s.into();
        let concurrency = plan.concurrency.into();
        let budgets = &context.budgets;
        budgets.set_capacity(BudgetKind::PlanRequests(workspace.0), Split::Even, requests);
        budgets.set_capacity(BudgetKind::PlanTokens(workspace.0), Split::Even, tokens);
        budgets.set_capacity(
            BudgetKind::PlanConcurrency(workspace.0),
            Split::Even,
            concurrency,
        );
    }
}

/// Returns the retry rate of the whole fleet in thousandths of retries per second.
fn retry_capacity(context: &Context) -> u64 {
    u64::from(context.settings.budgets.retries_per_s) * MILLI
}

/// Total capacity of the backend servers in service.
struct Capacity {
    slots: u32,
    service_tokens_per_s: f64,
}

fn total_capacity(context: &Context, config: &ConfigState) -> Capacity {
    let settings = &context.settings;
    let in_service = || {
        settings.backend_servers().filter(|(_, server)| {
            config.is_in_service(server.failure_domain(), &server.instance_name())
        })
    };
    let tokens_per_s = |server: &BackendServer<'_>| match server {
        BackendServer::Model {
            settings: server, ..
        } => {
            let model = server
                .models
                .first()
                .and_then(|name| settings.models.get(name));
            model.map_or(0.0, |model| model.prefill_tokens_per_s.into())
        }
        BackendServer::Service { .. } => 0.0,
    };
    Capacity {
        slots: in_service()
            .map(|(_, server)| server.capacity_concurrency())
            .sum(),
        service_tokens_per_s: in_service().map(|(_, server)| tokens_per_s(&server)).sum(),
    }
}

/// Limits admission to this daemon's part of the capacity. Otherwise each daemon would admit as
/// much as all servers sustain together, and requests would queue at the servers, where fair
/// queueing does not apply.
fn set_capacity(context: &Context, config: &ConfigState) {
    let total = total_capacity(context, config);
    // As for plans, half of an equal part may be used even without a share.
    let minimum = f64::from(total.slots) / f64::from(fleet_size(context)) / 2.0;
    let slots = (context.budgets.share(BudgetKind::Slots) as f64).max(minimum);
    // The rate is that of the whole fleet: cached prompts cost far less than their estimate, and an
    // early refusal of a request that could have run is worse than a wait that ends in a refusal.
    let rate = total.service_tokens_per_s.max(1.0);
    context.admission.set_capacity((slots as u32).max(1), rate);
}

fn workspace_plans<'a>(
    context: &'a Context,
    config: &'a ConfigState,
) -> impl Iterator<Item = (WorkspaceId, &'a Plan)> {
    config.plans.workspaces.iter().filter_map(|(name, plan)| {
        let index = context.settings.keys.get_index_of(name)?;
        Some((WorkspaceId(u32::try_from(index).ok()?), plan))
    })
}

/// Records in the budgets what this daemon uses and needs, so that idle shares move to the daemons
/// with demand.
async fn record_usage(context: &Context, config: &ConfigState) {
    let usage = context.admission.take_usage().await;
    let members = u64::from(fleet_size(context));
    // Failures come in bursts without warning, so a daemon reserves its equal part of the retries.
    // A share that was moved away as idle would come back too late.
    let reserved = retry_capacity(context).div_ceil(members);
    context
        .budgets
        .record_rate(BudgetKind::Retries, reserved, 0);
    context.update_retry_share();
    let running: u64 = usage.iter().map(|(_, usage)| usage.running).sum();
    let queued: u64 = usage.iter().map(|(_, usage)| usage.queued).sum();
    let reserved = u64::from(total_capacity(context, config).slots) / members / 2;
    let wanted = running + running / 4 + queued;
    context
        .budgets
        .record_rate(BudgetKind::Slots, running.max(reserved), wanted);
    for (workspace, plan) in workspace_plans(context, config) {
        let used = usage.iter().find(|(known, _)| *known == workspace);
        let used = used.map_or_else(PlanUsage::default, |(_, usage)| *usage);
        let index = workspace.0;
        let rate = |count: u64| count * MILLI / SHARE_INTERVAL.as_millis() as u64;
        let record = |kind, total: u64, used: u64, queued: u64| {
            // Half of an equal part is reserved, so that a request after an idle time can start at
            // once.
            let reserved = total / members / 2;
            let wanted = used + used / 4 + queued;
            context
                .budgets
                .record_rate(kind, used.max(reserved), wanted);
        };
        record(
            BudgetKind::PlanRequests(index),
            u64::from(plan.requests_per_s) * MILLI,
            rate(used.requests) * MILLI,
            used.queued * MILLI,
        );
        record(
            BudgetKind::PlanTokens(index),
            plan.tokens_per_s.into(),
            rate(used.tokens),
            used.queued_tokens,
        );
        record(
            BudgetKind::PlanConcurrency(index),
            plan.concurrency.into(),
            used.running,
            used.queued,
        );
    }
}

fn owned_partitions(context: &Context) -> Vec<u16> {
    let view = context.control.view();
    let owner = |partition: u16| {
        let resource = OwnedResource::ClaimPartition(partition.into());
        view.ownership.owner(resource)
    };
    (0..context.claims.partitions())
        .filter(|partition| owner(*partition) == Some(context.daemon))
        .collect()
}

fn set_limits(context: &Context, config: &ConfigState) {
    let limits = workspace_plans(context, config)
        .map(|(workspace, plan)| (workspace, workspace_limits(context, workspace, plan)))
        .collect();
    context.admission.set_limits(limits);
}

/// Returns this daemon's part of a plan.
///
/// Half of an equal part may be used even without a share, because no daemon has a share before the
/// first epoch, and later an idle share may have moved to another daemon. Daemons reserve that half
/// of their shares (see [`record_usage`]), so the sum over all daemons stays within the plan while
/// an epoch is known, and is half of the plan before.
fn workspace_limits(context: &Context, workspace: WorkspaceId, plan: &Plan) -> PlanLimits {
    let index = workspace.0;
    let half_parts = f64::from(fleet_size(context)) * 2.0;
    let share = |kind, total: f64| (context.budgets.share(kind) as f64).max(total / half_parts);
    let requests = share(
        BudgetKind::PlanRequests(index),
        f64::from(plan.requests_per_s) * MILLI as f64,
    );
    let requests_per_s = requests / MILLI as f64;
    let tokens_per_s = share(BudgetKind::PlanTokens(index), plan.tokens_per_s.into());
    let concurrency = share(BudgetKind::PlanConcurrency(index), plan.concurrency.into());
    let fraction = |share: f64, total: u32| share / f64::from(total.max(1));
    PlanLimits {
        weight: plan.weight,
        priority: match plan.priority {
            PlanPriority::Interactive => Priority::Interactive,
            PlanPriority::Batch => Priority::Batch,
        },
        share: PlanShare {
            requests_per_s,
            tokens_per_s,
            burst_requests: f64::from(plan.burst_requests)
                * fraction(requests_per_s, plan.requests_per_s),
            burst_tokens: f64::from(plan.burst_tokens) * fraction(tokens_per_s, plan.tokens_per_s),
            // One request may always run. If a plan had fewer permits than there are daemons, most
            // daemons would have none, and requests of the workspace would wait for a transfer of
            // share. The limit of the fleet is therefore the plan's concurrency plus one per
            // daemon.
            concurrency: (concurrency as u32).max(1),
        },
    }
}

/// Returns the number of daemons: the largest of the known counts, because a missing member must
/// not enlarge the parts of the others.
fn fleet_size(context: &Context) -> u32 {
    let view = context.control.view();
    let size = view
        .members
        .len()
        .max(view.epoch.members.len())
        .max(context.settings.instances.seeds.len())
        .max(1);
    u32::try_from(size).unwrap_or(u32::MAX)
}
