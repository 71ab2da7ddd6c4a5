//! Probes that wait for an answer, and pings relayed for other members.

use anvilgw_core::DaemonId;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for a direct answer before other members are asked to ping the target. The network delay
/// between members is at most some tens of milliseconds.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time from the direct ping to the suspicion.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a failed probe is remembered, so that a late answer is recognized as one.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(3);

/// Largest number of pings for other members that are under way at a time.
const MAX_RELAYS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbePhase {
    Direct,
    Indirect,
    Failed,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) seq: u32,
    pub(crate) target: DaemonId,
    pub(crate) sent: Duration,
    phase: ProbePhase,
    /// Whether the target was already suspected. The failure of such a probe has no further effect.
    is_suspect_ping: bool,
    timeout_factor: u32,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub(crate) seq: u32,
    pub(crate) origin: SocketAddr,
    pub(crate) origin_seq: u32,
    pub(crate) target: DaemonId,
    sent: Duration,
}

/// Time class of the answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerTiming {
    InTime,
    /// Later than [`DIRECT_TIMEOUT`] and in time only because the timeouts are lengthened, so they
    /// have to stay lengthened.
    Slow,
    Late,
}

/// Step that is due because a probe was not answered in time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ProbeStep {
    RequestIndirectPings(Probe),
    Suspect(DaemonId),
}

/// Probes of this daemon and pings relayed for other members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    last_seq: u32,
}

impl Probes {
    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    pub(crate) fn start(
        &mut self,
        target: DaemonId,
        now: Duration,
        timeout_factor: u32,
        is_suspect_ping: bool,
    ) -> u32 {
        let seq = self.next_seq();
        self.probes.push(Probe {
            seq,
            target,
            sent: now,
            phase: ProbePhase::Direct,
            is_suspect_ping,
            timeout_factor,
        });
        seq
    }

    /// Starts a ping on behalf of another member and returns its sequence number; `None` if too
    /// many are under way.
    pub(crate) fn relay(
        &mut self,
        origin: SocketAddr,
        origin_seq: u32,
        target: DaemonId,
        now: Duration,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let seq = self.next_seq();
        self.relays.push(Relay {
            seq,
            origin,
            origin_seq,
            target,
            sent: now,
        });
        Some(seq)
    }

    /// Ends the probe that `from` answered. Returns `None` if there is no such probe.
    pub(crate) fn answered(
        &mut self,
        seq: u32,
        from: DaemonId,
        now: Duration,
    ) -> Option<(Probe, AnswerTiming)> {
        let at = self
            .probes
            .iter()
            .position(|probe| probe.seq == seq && probe.target == from)?;
        let probe = self.probes.swap_remove(at);
        let elapsed = now.saturating_sub(probe.sent);
        let timing = match probe.phase {
            ProbePhase::Direct if elapsed < DIRECT_TIMEOUT => AnswerTiming::InTime,
            ProbePhase::Direct => AnswerTiming::Slow,
            ProbePhase::Indirect | ProbePhase::Failed => AnswerTiming::Late,
        };
        Some((probe, timing))
    }

    /// Ends the relayed ping that `from` answered. Returns `None` if there is no such ping.
    pub(crate) fn relay_answered(&mut self, seq: u32, from: DaemonId) -> Option<Relay> {
        let at = self
            .relays
            .iter()
            .position(|relay| relay.seq == seq && relay.target == from)?;
        Some(self.relays.swap_remove(at))
    }

    pub(crate) fn due(&mut self, now: Duration) -> Vec<ProbeStep> {
        let mut due = Vec::new();
        for probe in &mut self.probes {
            let elapsed = now.saturating_sub(probe.sent);
            if probe.phase == ProbePhase::Direct && elapsed >= DIRECT_TIMEOUT * probe.timeout_factor
            {
                probe.phase = ProbePhase::Indirect;
                if !probe.is_suspect_ping {
                    due.push(ProbeStep::RequestIndirectPings(*probe));
                }
            }
            if probe.phase == ProbePhase::Indirect
                && elapsed >= PROBE_TIMEOUT * probe.timeout_factor
            {
                probe.phase = ProbePhase::Failed;
                if !probe.is_suspect_ping {
                    due.push(ProbeStep::Suspect(probe.target));
                }
            }
        }
        self.probes.retain(|probe| {
            now.saturating_sub(probe.sent)
                < LATE_ANSWER_WINDOW + PROBE_TIMEOUT * probe.timeout_factor
        });
        self.relays
            .retain(|relay| now.saturating_sub(relay.sent) < PROBE_TIMEOUT);
        due
    }

    /// Returns the earliest uptime at which [`Probes::due`] returns a step.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.probes
            .iter()
            .filter_map(|probe| match probe.phase {
                ProbePhase::Direct => Some(probe.sent + DIRECT_TIMEOUT * probe.timeout_factor),
                ProbePhase::Indirect => Some(probe.sent + PROBE_TIMEOUT * probe.timeout_factor),
                ProbePhase::Failed => None,
            })
            .min()
    }

    /// Drops all probes and relayed pings. After a pause of this daemon their answers cannot be
    /// judged.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }
}
