//! Metrics of rollouts and of the versions of servers, in the Prometheus text format. `anvilgw
//! rollout` reads them.

use crate::rollout::{BadReason, DecisionReason, Phase, RolloutState, ServiceVersions, Side};
use crate::service_rollouts::{ActiveRollout, ServiceRollouts};
use std::fmt::Write;

/// Returns the name of a phase in logs and metrics.
pub(crate) fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Canary => "canary",
        Phase::Ramp { .. } => "ramp",
        Phase::Full => "full",
        Phase::Completing => "completing",
        Phase::RollingBack => "rolling_back",
    }
}

/// Returns the name of a reason in logs and metrics.
pub(crate) fn reason_name(reason: DecisionReason) -> &'static str {
    match reason {
        DecisionReason::NoTargetServers => "no_target_servers",
        DecisionReason::FewReports => "few_reports",
        DecisionReason::StoreUnavailable => "store_unavailable",
        DecisionReason::Scheduled => "scheduled",
        DecisionReason::Suspicion => "suspicion",
        DecisionReason::CapacityMissing => "capacity_missing",
        DecisionReason::Draining => "draining",
        DecisionReason::Drained => "drained",
        DecisionReason::DrainTimeout => "drain_timeout",
        DecisionReason::AlreadyInForce => "already_in_force",
        DecisionReason::Bad(BadReason::Failures) => "bad_failures",
        DecisionReason::Bad(BadReason::Slow) => "bad_slow",
        DecisionReason::Bad(BadReason::ServersFail) => "bad_servers_fail",
        DecisionReason::Bad(BadReason::Unanswered) => "bad_unanswered",
        DecisionReason::Deadline => "deadline",
        DecisionReason::Withdrawn => "withdrawn",
        DecisionReason::Adopted => "adopted",
        DecisionReason::Stored => "stored",
    }
}

fn state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Running => "running",
        RolloutState::Complete => "complete",
        RolloutState::RolledBack => "rolled_back",
    }
}

/// Escapes a text for the value of a label.
fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

/// Renders the metrics of all rollouts and versions.
pub(crate) fn render(rollouts: &ServiceRollouts) -> String {
    let mut text = String::new();
    for (key, counts) in rollouts.version_totals.iter() {
        let labels = format!(
            r#"service="{}",version="{}""#,
            escape(&key.service),
            escape(&key.version)
        );
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "anvilgw_version_requests_total{{{labels}}} {}\n\
             anvilgw_version_answers_total{{{labels}}} {}\n\
             anvilgw_version_failures_total{{{labels}}} {}",
            counts.requests, counts.answers, counts.failures
        );
    }
    for (service, versions, rollout) in rollouts.newest() {
        render_state(&mut text, service, versions, rollout);
        if let Some(rollout) = rollout {
            render_evidence(&mut text, service, rollout);
        }
    }
    text
}

fn render_state(
    text: &mut String,
    service: &str,
    versions: &ServiceVersions,
    rollout: Option<&ActiveRollout>,
) {
    let status = versions.status();
    let target = versions.order().map(|order| order.target.as_str());
    let target = target.or_else(|| status.map(|status| status.target.as_str()));
    let Some(target) = target else { return };
    let status = status.filter(|status| status.target == target);
    let decision = rollout.and_then(|rollout| rollout.decision.as_ref());
    let phase = rollout.and_then(ActiveRollout::newest_phase);
    let _ = writeln!(
        text,
        "anvilgw_rollout{{service=\"{}\",target=\"{}\",in_force=\"{}\",state=\"{}\",\
         phase=\"{}\",reason=\"{}\"}} 1",
        escape(service),
        escape(target),
        escape(versions.in_force().unwrap_or_default()),
        status.map_or("", |status| state_name(status.state)),
        phase.map_or("", phase_name),
        decision.map_or("", |decision| reason_name(decision.reason)),
    );
}

fn render_evidence(text: &mut String, service: &str, rollout: &ActiveRollout) {
    let service = escape(service);
    let counts = rollout.counts();
    for (side, requests) in [("all", counts.requests), ("target", counts.target)] {
        let _ = writeln!(
            text,
            "anvilgw_rollout_requests{{service=\"{service}\",side=\"{side}\"}} {requests}"
        );
    }
    for (side, name) in [(Side::Target, "target"), (Side::Base, "base")] {
        let rows = rollout.evidence().rows();
        let rows: Vec<_> = rows.filter(|row| row.key.side == side).collect();
        let answers: u32 = rows.iter().map(|row| row.answers).sum();
        let failures: u32 = rows.iter().map(|row| row.failures).sum();
        let labels = format!(r#"service="{service}",side="{name}",scope="daemon""#);
        render_answers(text, &labels, u64::from(answers), u64::from(failures));
    }
    let Some(decision) = &rollout.decision else {
        return;
    };
    let judgement = &decision.judgement;
    let fleet = [
        (
            "target",
            judgement.target_answers,
            judgement.target_failures,
        ),
        ("base", judgement.base_answers, judgement.base_failures),
    ];
    for (name, answers, failures) in fleet {
        let labels = format!(r#"service="{service}",side="{name}",scope="fleet""#);
        render_answers(text, &labels, answers, failures);
    }
    let _ = writeln!(
        text,
        "anvilgw_rollout_share{{service=\"{service}\"}} {}\n\
         anvilgw_rollout_llr{{service=\"{service}\",test=\"failures\"}} {:.3}\n\
         anvilgw_rollout_llr{{service=\"{service}\",test=\"slow\"}} {:.3}",
        decision.directive.share.fraction(),
        judgement.failures_llr,
        judgement.slow_llr
    );
}

fn render_answers(text: &mut String, labels: &str, answers: u64, failures: u64) {
    let _ = writeln!(
        text,
        "anvilgw_rollout_answers{{{labels}}} {answers}\n\
         anvilgw_rollout_failures{{{labels}}} {failures}"
    );
}
