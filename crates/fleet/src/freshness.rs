//! Age of a daemon's view of the configuration and the epochs.

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

/// Time by which peers' clocks may advance more than this daemon's clock before it counts as
/// stopped.
const CLOCK_LAG_LIMIT_MS: i64 = 500;

/// Time after which the reference for comparing clocks is renewed. Clock rates differ by up to
/// about 100 ppm, which is 12 ms in this time.
const CLOCK_WINDOW: Duration = Duration::from_secs(120);

/// Time since its last datagram within which a peer takes part in the comparison of clocks.
const RECENT_PEER_WINDOW: Duration = Duration::from_secs(2);

/// Margin for different clock rates when the send time of a datagram is derived from the sender's
/// uptime and from an answer that is up to [`CLOCK_WINDOW`] old.
const CLOCK_RATE_MARGIN_MS: i64 = 25;

/// Longest round trip of an answer from which the comparison with a peer's clock starts. A datagram
/// that was queued for long would make the peer's clock seem to lag, and the next one would then
/// make this daemon's clock seem to have stopped.
const MAX_CLOCK_ROUND_TRIP: Duration = Duration::from_millis(250);

/// Largest number of peers whose clocks are compared.
const MAX_PEERS: usize = 4_096;

/// Reads of the log per second by all daemons of the fleet together.
const FLEET_READS_PER_S: f64 = 40.0;

/// Shortest time between two reads of the log by one daemon.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the view at which a daemon reads the log before its interval has passed. In a large fleet
/// the interval is 10 s, and evidence from peers sometimes takes longer than the freshness limit to
/// arrive.
const EARLY_READ_AGE: Duration = Duration::from_millis(1_300);

/// Age of the view from which the list of outage ages of a large epoch is sent. The list has up to
/// 256 bytes and is needed only while the log cannot be read.
const OUTAGE_AGES_MIN_VIEW_AGE: Duration = Duration::from_secs(1);

/// Reason why a daemon takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StaleReason {
    /// The daemon has neither read the log nor received a report from a peer with a fresh view.
    NoEvidence,
    /// The daemon's evidence is too old, and it does not exchange datagrams with a majority of the
    /// last epoch that does not reach the log either.
    Isolated,
    /// A peer has a later configuration or epoch than the daemon.
    Behind,
    /// The daemon's clock stopped for a while, so all evidence was discarded.
    ClockStopped,
}

/// Error of a daemon whose view is too old to take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale {
    /// Reason why the view is too old.
    pub reason: StaleReason,
    /// Age of the view; `None` without any evidence.
    pub age: Option<Duration>,
}

impl fmt::Display for Stale {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = match self.reason {
            StaleReason::NoEvidence => "no evidence of the current configuration",
            StaleReason::Isolated => "neither the log nor a majority of the fleet can be reached",
            StaleReason::Behind => "a peer has a later configuration or epoch",
            StaleReason::ClockStopped => "the clock of this instance stopped",
        };
        match self.age {
            Some(age) => write!(
                f,
                "view is stale at an age of {} ms: {reason}",
                age.as_millis()
            ),
            None => write!(f, "view is stale: {reason}"),
        }
    }
}

impl std::error::Error for Stale {}

/// Conclusion that a daemon draws from a peer's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// The peer has no later configuration or epoch than this daemon.
    Current,
    /// The peer has a later configuration or epoch, which this daemon has to fetch from the peer or
    /// from the log.
    Behind {
        /// Configuration version that the peer has applied.
        config_version: u64,
        /// Epoch that the peer has folded.
        epoch: u64,
    },
    /// This daemon's clock stopped for a while. The caller drops leases and all other state that
    /// depends on elapsed time.
    ClockStopped,
}

#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// Smallest difference on arrival between this daemon's uptime and the peer's, in the current
    /// and in the previous window.
    min_difference_ms: i64,
    previous_min_difference_ms: i64,
    window_start: Duration,
    last_heard: Duration,
    /// Whether this daemon's clock lags behind the peer's.
    lags: bool,
    /// Lower bound of the difference of the uptimes in milliseconds, with the time at which the
    /// probe was sent whose answer gave it.
    difference_bound: Option<(Duration, i64)>,
}

/// Age of a daemon's view, and whether the daemon may take new work.
///
/// A view within [`FRESHNESS_LIMIT`] is fresh. A daemon with an older view may still take new work
/// under the majority rule: more than half of the members of the last epoch, itself included,
/// reported within that limit that they do not reach the log. The rule does not apply while a peer
/// is known to have a later configuration or epoch, or after the daemon's clock stopped until there
/// is new evidence.
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
    /// Uptime at which the clock was last found to have stopped. Reads and probes that began before
    /// are no evidence.
    discarded_at: Option<Duration>,
    peers: BTreeMap<DaemonId, PeerClock>,
    outage_reports: OutageReports,
    flaw: Option<Flaw>,
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

impl Freshness {
    /// Creates the state of a daemon without any evidence.
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

    /// Injects a fault, which the model checker has to find.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Records the configuration version that the daemon has applied.
    pub fn set_config_version(&mut self, version: u64) {
        self.config_version = self.config_version.max(version);
        self.newest_config_version = self.newest_config_version.max(version);
    }

    /// Records an epoch that the daemon has folded. Earlier epochs than the current one are
    /// ignored.
    pub fn set_epoch(&mut self, epoch: &Epoch) {
        if epoch.number > self.epoch {
            self.epoch = epoch.number;
            self.newest_epoch = self.newest_epoch.max(epoch.number);
            self.outage_reports.set_epoch(epoch);
        }
    }

    /// Records a successful read of the streams `config` and `epochs` to their end. `began_at` is
    /// the uptime at which the reads began; the daemon has applied everything that they returned.
    pub fn on_log_read(&mut self, began_at: Duration) {
        self.last_read_attempt = self.last_read_attempt.max(Some(began_at));
        if Some(began_at) <= self.discarded_at {
            return;
        }
        self.last_successful_read = self.last_successful_read.max(Some(began_at));
        self.log_failing = false;
        self.record_evidence(began_at);
    }

    /// Records that a read of the log which began at the uptime `began_at` failed.
    pub fn on_log_read_failed(&mut self, began_at: Duration) {
        self.last_read_attempt = self.last_read_attempt.max(Some(began_at));
        self.log_failing = true;
    }

    /// Processes a peer's report about itself, which may confirm that this daemon's view is
    /// current.
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

    /// Returns the age of the view without regard to the majority rule; `None` without any
    /// evidence.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh_as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Checks whether the daemon may start new work. It is called when work arrives and again
    /// directly before the work is sent to a backend server. It compares a few numbers, and counts
    /// the members of the epoch only during an outage of the log.
    ///
    /// # Errors
    ///
    /// Returns the reason and the age of the view if the view is too old.
    pub fn may_take_new_work(&self, now: Duration) -> Result<(), Stale> {
        let age = self.age(now);
        if age.is_some_and(|age| age <= FRESHNESS_LIMIT) {
            return Ok(());
        }
        let reason = if self.clock_stopped {
            StaleReason::ClockStopped
        } else if self.is_behind() {
            StaleReason::Behind
        } else if self.has_majority_without_log(now) {
            return Ok(());
        } else if age.is_none() {
            StaleReason::NoEvidence
        } else {
            StaleReason::Isolated
        };
        Err(Stale { reason, age })
    }

    /// Returns whether a peer has a later configuration or epoch than this daemon.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.newest_config_version > self.config_version || self.newest_epoch > self.epoch
    }

    /// Returns the number of members of the last epoch, this daemon included, that reported within
    /// the freshness limit that they do not reach the log, and the number of all members of that
    /// epoch.
    #[must_use]
    pub fn members_without_log(&self, now: Duration) -> (usize, usize) {
        let mut outage_reports = self.outage_reports.clone();
        outage_reports.record(self.own, self.reaches_log(now), now);
        (
            outage_reports.count(now, FRESHNESS_LIMIT),
            outage_reports.member_count(),
        )
    }

    /// Returns how often this daemon's clock was found to have stopped.
    #[must_use]
    pub fn clock_stops(&self) -> u64 {
        self.clock_stops
    }

    /// Returns the status of this daemon for its datagrams.
    #[must_use]
    pub fn daemon_status(&self, now: Duration) -> DaemonStatus {
        let mut outage_reports = self.outage_reports.clone();
        outage_reports.record(self.own, self.reaches_log(now), now);
        DaemonStatus {
            config_version: self.config_version,
            view_age_ms: self.age(now).map(|age| {
                // Rounded up, so that the view never looks younger than it is.
                u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
            }),
            reaches_log: self.reaches_log(now),
            epoch: self.epoch,
            uptime_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            // This daemon may have received reports of members that have a later configuration. It
            // must not pass these on to a third member without the information that the
            // configuration has changed. Long lists are left out while the view is young, since
            // they are not needed then.
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

    /// Returns whether a read of the log is due. `members` is the number of live members and
    /// `jitter` a random number from 0 to 1 that the caller draws anew after each read.
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

    /// Returns whether this daemon reaches the log. A failed read counts at once, since the
    /// majority rule has to be met before the last evidence expires.
    fn reaches_log(&self, now: Duration) -> bool {
        !self.log_failing
            && self
                .last_successful_read
                .is_some_and(|began_at| now.saturating_sub(began_at) <= FRESHNESS_LIMIT)
    }

    fn has_majority_without_log(&self, now: Duration) -> bool {
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

    /// Returns the earliest time at which the peer can have sent a report that answers no probe:
    /// its uptime at that time, moved by the smallest difference of the clocks that an earlier
    /// answer allows. A datagram that was queued for long, for example while this daemon was
    /// paused, thereby gets its true, old send time.
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

    /// Compares how far the clocks have advanced. Returns whether this daemon's clock has stopped.
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
