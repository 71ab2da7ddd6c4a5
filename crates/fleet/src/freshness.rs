//! How old a daemon's view of the configuration is.

use crate::FRESHNESS_LIMIT;
use crate::epoch::Epoch;
use crate::membership::PeerReport;
use crate::mutation::Flaw;
use crate::outage_reports::OutageReports;
use crate::wire::DaemonStatus;
use anvilgw_core::DaemonId;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// How much more the clocks of peers may have advanced than the own one.
const CLOCK_LAG_LIMIT_MS: i64 = 500;

/// Time after which the reference for comparing clocks is renewed. Clock rates differ by up to about
/// 100 ppm, which is 12 ms in this time.
const CLOCK_WINDOW: Duration = Duration::from_secs(120);

/// Peers last_heard within this time take part in the comparison of clocks.
const RECENT_PEER_WINDOW: Duration = Duration::from_secs(2);

/// Allowance for the difference of clock rates when the send time of a message is derived from the
/// sender's uptime and an answer up to [`CLOCK_WINDOW`] old.
const CLOCK_RATE_MARGIN_MS: i64 = 25;

/// Longest round trip of an answer from which a comparison starts. A datagram that waited for long
/// would make the peer's clock look late, and the next one would make the own clock look stopped.
const MAX_CLOCK_ROUND_TRIP: Duration = Duration::from_millis(250);

/// Most peers whose clocks are compared.
const MAX_PEERS: usize = 4_096;

/// Reads of the log per second by the whole fleet.
const FLEET_READS_PER_S: f64 = 40.0;

/// Shortest time between two reads by one daemon.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the view at which a daemon reads the log before its turn. In a large fleet the turn comes
/// every 10 s and the evidence of peers now and then takes longer than the freshness limit.
const EARLY_READ_AGE: Duration = Duration::from_millis(1_300);

/// Age of the view from which the list of a large epoch is sent. It has up to 256 bytes and is of use
/// only while the log cannot be read.
const OUTAGE_AGES_MIN_VIEW_AGE: Duration = Duration::from_secs(1);

/// Why a daemon takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StaleReason {
    /// It has neither read the log nor last_heard from a peer with a fresh view.
    NoEvidence,
    /// Its evidence is too old, and it does not exchange datagrams with a majority of the last epoch
    /// that does not reach the log either.
    Isolated,
    /// A peer has a later configuration or epoch.
    Behind,
    /// Its clock stopped for a while, so all evidence was discarded.
    ClockStopped,
}

/// The view is too old to take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale {
    /// Why it is.
    pub reason: StaleReason,
    /// Age of the view, if there is any evidence.
    pub age: Option<Duration>,
}

impl fmt::Display for Stale {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = match self.reason {
            StaleReason::NoEvidence => "no evidence of the current configuration",
            StaleReason::Isolated => "neither the log nor a majority of the fleet reached",
            StaleReason::Behind => "a peer has a later configuration or epoch",
            StaleReason::ClockStopped => "the clock of this machine stopped",
        };
        match self.age {
            Some(age) => write!(f, "view of {} ms is stale: {reason}", age.as_millis()),
            None => write!(f, "view is stale: {reason}"),
        }
    }
}

impl std::error::Error for Stale {}

/// What a peer's report means for this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// The peer knows nothing newer.
    Current,
    /// The peer has a later configuration or epoch, to be fetched from it or from the log.
    Behind {
        /// Configuration version of the peer.
        config_version: u64,
        /// Epoch of the peer.
        epoch: u64,
    },
    /// This daemon's clock stopped. Leases and everything else that rests on time has to be dropped.
    ClockStopped,
}

#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// Least difference of own and peer uptime on arrival in this and the last window.
    min_difference_ms: i64,
    previous_min_difference_ms: i64,
    window_start: Duration,
    last_heard: Duration,
    /// The own clock lags behind this peer's.
    lags: bool,
    /// Lower bound of the difference of the uptimes, from an answer to a probe sent at the given time.
    difference_bound: Option<(Duration, i64)>,
}

/// The age of a daemon's view, and whether it may take new work.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: DaemonId,
    config_version: u64,
    epoch: u64,
    newest_config_version: u64,
    newest_epoch: u64,
    fresh_as_of: Option<Duration>,
    last_successful_read: Option<Duration>,
    last_read_attempt: Option<Duration>,
    log_failing: bool,
    clock_stopped: bool,
    clock_stops: u64,
    /// When the clock was last found to have stopped. What began before is no evidence.
    discarded_at: Option<Duration>,
    peers: BTreeMap<DaemonId, PeerClock>,
    outage_reports: OutageReports,
    flaw: Option<Flaw>,
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

impl Freshness {
    /// Creates the freshness of a daemon without evidence.
    #[must_use]
    pub fn new(own: DaemonId) -> Self {
        Self {
            own,
            config_version: 0,
            epoch: 0,
            newest_config_version: 0,
            newest_epoch: 0,
            fresh_as_of: None,
            last_successful_read: None,
            last_read_attempt: None,
            log_failing: false,
            clock_stopped: false,
            clock_stops: 0,
            discarded_at: None,
            peers: BTreeMap::new(),
            outage_reports: OutageReports::default(),
            flaw: None,
        }
    }

    /// Plants a fault for the model checker.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Notes the configuration version that the daemon has applied.
    pub fn set_config_version(&mut self, version: u64) {
        self.config_version = self.config_version.max(version);
        self.newest_config_version = self.newest_config_version.max(version);
    }

    /// Notes the epoch that the daemon has folded.
    pub fn set_epoch(&mut self, epoch: &Epoch) {
        if epoch.number > self.epoch {
            self.epoch = epoch.number;
            self.newest_epoch = self.newest_epoch.max(epoch.number);
            self.outage_reports.set_epoch(epoch);
        }
    }

    /// Notes that reads of the streams `config` and `epochs` which began at `began` reached the end,
    /// after everything they returned was applied.
    pub fn on_log_read(&mut self, began_at: Duration) {
        self.last_read_attempt = self.last_read_attempt.max(Some(began_at));
        if Some(began_at) <= self.discarded_at {
            return;
        }
        self.last_successful_read = self.last_successful_read.max(Some(began_at));
        self.log_failing = false;
        self.record_evidence(began_at);
    }

    /// Notes that a read of the log failed.
    pub fn on_log_read_failed(&mut self, began_at: Duration) {
        self.last_read_attempt = self.last_read_attempt.max(Some(began_at));
        self.log_failing = true;
    }

    /// Takes a peer's report about itself into account.
    pub fn on_peer_report(&mut self, now: Duration, report: &PeerReport) -> PeerVerdict {
        if self.compare_clocks(now, report) {
            self.discard_evidence(now);
            return PeerVerdict::ClockStopped;
        }
        let daemon_status = &report.daemon_status;
        let sent_at = match report.probe_sent {
            Some(sent) => Some(sent).filter(|_| Some(sent) > self.discarded_at),
            None => self.send_time(now, report),
        };
        if let Some(sent_at) = sent_at {
            self.outage_reports
                .record(report.peer, daemon_status.reaches_log, sent_at);
            self.outage_reports
                .merge(daemon_status.epoch, &daemon_status.outage_ages, sent_at);
        }
        self.newest_config_version = self.newest_config_version.max(daemon_status.config_version);
        self.newest_epoch = self.newest_epoch.max(daemon_status.epoch);
        if daemon_status.config_version > self.config_version || daemon_status.epoch > self.epoch {
            return PeerVerdict::Behind {
                config_version: daemon_status.config_version,
                epoch: daemon_status.epoch,
            };
        }
        if let (Some(sent_at), Some(age_ms)) = (sent_at, daemon_status.view_age_ms)
            && let Some(as_of) = sent_at.checked_sub(Duration::from_millis(age_ms.into()))
        {
            self.record_evidence(as_of);
        }
        PeerVerdict::Current
    }

    /// Age of the view, without regard to the majority rule.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh_as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Whether the daemon may start new work. Called when work arrives and again directly before it
    /// is sent to a backend server. It compares a few numbers and counts the members of the epoch
    /// only during an outage of the log.
    ///
    /// # Errors
    ///
    /// The reason and the age of the view if it is too old.
    pub fn may_take_new_work(&self, now: Duration) -> Result<(), Stale> {
        let age = self.age(now);
        if age.is_some_and(|age| age <= FRESHNESS_LIMIT) {
            return Ok(());
        }
        let reason = if self.clock_stopped {
            StaleReason::ClockStopped
        } else if self.is_behind() {
            StaleReason::Behind
        } else if self.has_majority(now) {
            return Ok(());
        } else if age.is_none() {
            StaleReason::NoEvidence
        } else {
            StaleReason::Isolated
        };
        Err(Stale { reason, age })
    }

    /// Whether a peer has a later configuration or epoch.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.newest_config_version > self.config_version || self.newest_epoch > self.epoch
    }

    /// Members of the last epoch that said within the freshness limit that they do not reach the log,
    /// this daemon included, and the number of members.
    #[must_use]
    pub fn members_without_log(&self, now: Duration) -> (usize, usize) {
        let mut outage_reports = self.outage_reports.clone();
        outage_reports.record(self.own, self.reaches_log(now), now);
        (
            outage_reports.count(now, FRESHNESS_LIMIT),
            outage_reports.member_count(),
        )
    }

    /// How often the clock was found to have stopped.
    #[must_use]
    pub fn clock_stops(&self) -> u64 {
        self.clock_stops
    }

    /// The report about this daemon for its datagrams.
    #[must_use]
    pub fn daemon_status(&self, now: Duration) -> DaemonStatus {
        let mut outage_reports = self.outage_reports.clone();
        outage_reports.record(self.own, self.reaches_log(now), now);
        DaemonStatus {
            config_version: self.config_version,
            view_age_ms: self.age(now).map(|age| {
                // Rounded up: the view must never look younger than it is.
                u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
            }),
            reaches_log: self.reaches_log(now),
            epoch: self.epoch,
            uptime_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            // Members that have a later configuration may be among those that this daemon last_heard. Their
            // reports must not reach a third one without the news of the change. Large lists are
            // left out while the view is young, since nobody needs them then.
            outage_ages: if self.is_behind()
                || outage_reports.is_coarse()
                    && self
                        .age(now)
                        .is_some_and(|age| age < OUTAGE_AGES_MIN_VIEW_AGE)
            {
                Vec::new()
            } else {
                outage_reports.encode(now)
            },
        }
    }

    /// Whether to read the log now, given the number of live members and a random number from 0 to 1
    /// that the caller draws anew after each read.
    #[must_use]
    pub fn is_log_read_due(&self, now: Duration, members: usize, jitter: f64) -> bool {
        let Some(last) = self.last_read_attempt else {
            return true;
        };
        let interval = Duration::from_secs_f64(members as f64 / FLEET_READS_PER_S);
        let interval = interval
            .max(MIN_READ_INTERVAL)
            .mul_f64(0.75 + jitter.clamp(0.0, 1.0) / 2.0);
        let early = !self.log_failing && self.age(now).is_none_or(|age| age >= EARLY_READ_AGE);
        let wait = if early || self.is_behind() {
            MIN_READ_INTERVAL
        } else {
            interval
        };
        now.saturating_sub(last) >= wait
    }

    /// A failed read counts at once: the majority rule has to be met before the last evidence expires.
    fn reaches_log(&self, now: Duration) -> bool {
        !self.log_failing
            && self
                .last_successful_read
                .is_some_and(|began_at| now.saturating_sub(began_at) <= FRESHNESS_LIMIT)
    }

    fn has_majority(&self, now: Duration) -> bool {
        let (without_log, mut members) = self.members_without_log(now);
        if self.flaw == Some(Flaw::MajorityOfHeard) {
            members = 1 + self.recently_heard_peers(now).count();
        }
        members > 0 && without_log * 2 > members
    }

    fn recently_heard_peers(&self, now: Duration) -> impl Iterator<Item = &PeerClock> {
        let peers = self.peers.values();
        peers.filter(move |clock| now.saturating_sub(clock.last_heard) <= RECENT_PEER_WINDOW)
    }

    fn record_evidence(&mut self, as_of: Duration) {
        self.fresh_as_of = self.fresh_as_of.max(Some(as_of));
        self.clock_stopped = false;
    }

    fn discard_evidence(&mut self, now: Duration) {
        self.discarded_at = Some(now);
        self.fresh_as_of = None;
        self.last_successful_read = None;
        self.last_read_attempt = None;
        self.clock_stopped = true;
        self.clock_stops += 1;
        self.peers.clear();
        self.outage_reports.clear();
    }

    /// Earliest time at which the peer can have made a report that answers no probe: its uptime then,
    /// moved by the least difference of the clocks that an earlier answer allows. A datagram that was
    /// queued for long, for example while this daemon was paused, gets its true, old time.
    fn send_time(&self, now: Duration, report: &PeerReport) -> Option<Duration> {
        let clock = self.peers.get(&report.peer)?;
        let (_, difference_ms) = clock
            .difference_bound
            .filter(|(at, _)| now.saturating_sub(*at) <= CLOCK_WINDOW)?;
        let uptime_ms = i64::try_from(report.daemon_status.uptime_ms).ok()?;
        let sent_ms = uptime_ms
            .checked_add(difference_ms)?
            .checked_sub(CLOCK_RATE_MARGIN_MS)?;
        let sent_at = Duration::from_millis(u64::try_from(sent_ms).ok()?);
        Some(sent_at.min(now))
    }

    fn add_clock(&mut self, now: Duration, peer: DaemonId, difference_ms: i64) {
        if self.peers.len() >= MAX_PEERS {
            self.peers
                .retain(|_, clock| now.saturating_sub(clock.last_heard) <= RECENT_PEER_WINDOW);
        }
        let clock = PeerClock {
            min_difference_ms: difference_ms,
            previous_min_difference_ms: difference_ms,
            window_start: now,
            last_heard: now,
            lags: false,
            difference_bound: None,
        };
        self.peers.insert(peer, clock);
    }

    /// Compares the advance of the clocks. Returns whether the own one has stopped.
    fn compare_clocks(&mut self, now: Duration, report: &PeerReport) -> bool {
        let Ok(uptime_ms) = i64::try_from(report.daemon_status.uptime_ms) else {
            return false;
        };
        let difference_ms = millis(now).saturating_sub(uptime_ms);
        let answer = report.probe_sent.filter(|sent| {
            Some(*sent) > self.discarded_at && now.saturating_sub(*sent) <= MAX_CLOCK_ROUND_TRIP
        });
        if answer.is_some() && !self.peers.contains_key(&report.peer) {
            self.add_clock(now, report.peer, difference_ms);
        }
        let Some(clock) = self.peers.get_mut(&report.peer) else {
            return false;
        };
        clock.last_heard = now;
        let min_difference_ms = clock
            .min_difference_ms
            .min(clock.previous_min_difference_ms);
        clock.lags = difference_ms < min_difference_ms.saturating_sub(CLOCK_LAG_LIMIT_MS);
        if !clock.lags {
            if now.saturating_sub(clock.window_start) >= CLOCK_WINDOW {
                clock.previous_min_difference_ms = clock.min_difference_ms;
                clock.min_difference_ms = difference_ms;
                clock.window_start = now;
            }
            clock.min_difference_ms = clock.min_difference_ms.min(difference_ms);
            if let Some(sent) = answer {
                clock.difference_bound = Some((sent, millis(sent).saturating_sub(uptime_ms)));
            }
        }
        let recent_peers = self.recently_heard_peers(now).count();
        let lagging = self
            .recently_heard_peers(now)
            .filter(|clock| clock.lags)
            .count();
        lagging * 2 > recent_peers && (lagging >= 2 || recent_peers == 1)
    }
}
