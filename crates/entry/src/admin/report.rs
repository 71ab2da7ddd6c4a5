//! What `status` shows.

use crate::context::Context;
use crate::duties::control::Member;
use anvilgw_config::{
    DutyStatus, EventReport, InForce, MemberStatus, ServerStatus, StatusReport, WorkspaceStatus,
};
use anvilgw_core::{DomainId, Stage};
use anvilgw_kernel::Event;
use std::sync::atomic::Ordering;

/// Versions that the live daemons reported.
pub(super) fn in_force(context: &Context) -> Vec<InForce> {
    let view = context.control.view();
    let live = |member: &&Member| matches!(member.state, "alive" | "suspect");
    view.members
        .iter()
        .filter(live)
        .map(|member| InForce {
            daemon: member.id().to_string(),
            version: member.config_version.unwrap_or(0),
        })
        .collect()
}

/// The fleet as this daemon sees it.
pub(super) async fn status(context: &Context) -> StatusReport {
    let view = context.control.view();
    let config = context.control.config();
    let refusal = refusal(context);
    let workspaces = workspaces(context).await;
    StatusReport {
        daemon: context.daemon.to_string(),
        instance: context.settings.daemon.instance.clone(),
        failure_domain: context.settings.daemon.failure_domain.clone(),
        ready: refusal.is_none(),
        not_ready_because: refusal.unwrap_or_default(),
        config_version: config.version,
        config_digest: config.digest().to_string(),
        view_age_ms: context.control.view_age().map(|age| age.as_millis() as u64),
        log_reachable: context.control.reaches_log(),
        epoch: view.epoch.number,
        open_requests: context.open_requests.load(Ordering::Acquire) as u64,
        queued_requests: workspaces.iter().map(|workspace| workspace.queued).sum(),
        domains_out: config.domains_out.iter().cloned().collect(),
        instances_out: config.instances_out.iter().cloned().collect(),
        members: members(context, &view.members),
        servers: servers(context).await,
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
        events: context.journal.since(0).into_iter().map(event).collect(),
    }
}

fn refusal(context: &Context) -> Option<String> {
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

fn members(context: &Context, members: &[Member]) -> Vec<MemberStatus> {
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

async fn servers(context: &Context) -> Vec<ServerStatus> {
    let config = context.control.config();
    let known = context.routing.status().await;
    known
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

async fn workspaces(context: &Context) -> Vec<WorkspaceStatus> {
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

fn event(event: Event) -> EventReport {
    EventReport {
        sequence: event.sequence,
        wall_ms: event.wall_ms,
        kind: format!("{:?}", event.kind),
        subject: event.subject,
        cause: event.cause,
    }
}
