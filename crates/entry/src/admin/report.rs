//! Status report of this daemon and of the fleet as this daemon sees it.

use crate::context::Context;
use crate::duties::control::Member;
use anvilgw_config::{
    DaemonConfigVersion, DutyStatus, EventReport, MemberStatus, ServerStatus, StatusReport,
    WorkspaceStatus,
};
use anvilgw_core::{DomainId, Stage};
use anvilgw_kernel::Event;
use std::sync::atomic::Ordering;

/// Returns the configuration version that each live daemon has reported, or 0 if it has reported
/// none.
pub(super) fn in_force(context: &Context) -> Vec<DaemonConfigVersion> {
    let view = context.control.view();
    let is_live = |member: &&Member| matches!(member.state, "alive" | "suspect");
    view.members
        .iter()
        .filter(is_live)
        .map(|member| DaemonConfigVersion {
            daemon: member.id().to_string(),
            version: member.config_version.unwrap_or(0),
        })
        .collect()
}

/// Builds the report for `GET /admin/status`.
pub(super) async fn status(context: &Context) -> StatusReport {
    let view = context.control.view();
    let config = context.control.config();
    let not_ready_reason = not_ready_reason(context);
    let workspaces = workspace_statuses(context).await;
    StatusReport {
        daemon: context.daemon.to_string(),
        instance: context.settings.daemon.instance.clone(),
        failure_domain: context.settings.daemon.failure_domain.clone(),
        ready: not_ready_reason.is_none(),
        not_ready_because: not_ready_reason.unwrap_or_default(),
        config_version: config.version,
        config_digest: config.digest().to_string(),
        view_age_ms: context.control.view_age().map(|age| age.as_millis() as u64),
        log_reachable: context.control.reaches_log(),
        epoch: view.epoch.number,
        open_requests: context.open_requests.load(Ordering::Acquire) as u64,
        queued_requests: workspaces.iter().map(|workspace| workspace.queued).sum(),
        domains_out: config.domains_out.iter().cloned().collect(),
        instances_out: config.instances_out.iter().cloned().collect(),
        members: member_statuses(context, &view.members),
        servers: server_statuses(context).await,
        workspaces,
        duties: view
            .fleet_duties
            .iter()
            .map(|(duty, state)| DutyStatus {
                duty: duty.clone(),
                state: state.clone(),
            })
            .collect(),
        claim_partitions: context.claims.status().await,
        events: context
            .journal
            .since(0)
            .into_iter()
            .map(event_report)
            .collect(),
    }
}

/// Returns why the daemon takes no new work, or `None` if it does.
fn not_ready_reason(context: &Context) -> Option<String> {
    if context.draining.load(Ordering::Acquire) {
        return Some("the daemon is draining".to_owned());
    }
    let failure = context.config_for_new_work(Stage::Received).err()?;
    Some(failure.detail().to_owned())
}

fn domain_name(context: &Context, domain: DomainId) -> String {
    let name = context.settings.domains.get_index(domain.0.into());
    name.map_or_else(String::new, |(name, _)| name.clone())
}

fn member_statuses(context: &Context, members: &[Member]) -> Vec<MemberStatus> {
    members
        .iter()
        .map(|member| MemberStatus {
            daemon: member.id().to_string(),
            failure_domain: domain_name(context, member.domain),
            state: member.state.to_owned(),
            config_version: member.config_version.unwrap_or(0),
        })
        .collect()
}

async fn server_statuses(context: &Context) -> Vec<ServerStatus> {
    let config = context.control.config();
    let servers = context.routing.status().await;
    servers
        .into_iter()
        .filter_map(|server| {
            let backend = context.backends.get(server.server)?;
            Some(ServerStatus {
                server: backend.name.clone(),
                failure_domain: backend.domain.clone(),
                in_service: config.is_in_service(&backend.domain, &backend.name),
                cold: server.cold.is_some(),
                breaker: server.breaker.to_owned(),
                running: server.own_running.into(),
                capacity: server.capacity.into(),
                cold_share: server.cold_share,
            })
        })
        .collect()
}

async fn workspace_statuses(context: &Context) -> Vec<WorkspaceStatus> {
    let usage = context.admission.current_usage().await;
    usage
        .into_iter()
        .filter(|(_, usage)| usage.running + usage.queued > 0)
        .map(|(workspace, usage)| WorkspaceStatus {
            workspace: context.workspace_name(workspace).to_owned(),
            running: usage.running,
            queued: usage.queued,
        })
        .collect()
}

fn event_report(event: Event) -> EventReport {
    EventReport {
        sequence: event.sequence,
        wall_ms: event.wall_ms,
        kind: format!("{:?}", event.kind),
        subject: event.subject,
        cause: event.cause,
    }
}
