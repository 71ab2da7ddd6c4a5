//! Shares of workspaces in what a busy service can serve.
//!
//! Workspaces are compared by the tokens that they claim, whether their requests are admitted or
//! not. Shares are max-min fair: each gets at most the same amount, and what one does not claim
//! goes to the others. Within a workspace the share does not depend on the request, so large
//! prompts are rejected no more often than small ones. Daemons report their claims to each other
//! like the load on engines, so each daemon uses the sums of the fleet.

use crate::cache_store::name_hash;
use indexmap::IndexMap;
use std::time::Duration;

/// Time in which the weight of a claim halves.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Claims below which a workspace is left out of the division, in tokens.
const CLAIM_MIN_TOKENS: f64 = 32.0;
/// Smallest share of a workspace's requests that is admitted, as a fraction of the mean of all
/// workspaces.
const SHARE_MIN_FRACTION: f64 = 0.4;

/// Identifies a workspace's claims at one service, also in load reports between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey(pub u32);

impl ClaimKey {
    /// Returns the key of a workspace at a service.
    #[must_use]
    pub fn of(service: &str, workspace: &str) -> Self {
        Self(name_hash(&format!("claims {service} {workspace}")) as u32)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Claim {
    tokens: f64,
    at: Duration,
}

impl Claim {
    fn tokens_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.tokens * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Claims of this daemon's requests at one service.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    /// Claims of all workspaces of the configuration.
    claims: IndexMap<ClaimKey, Claim>,
    configuration_version: Option<u64>,
}

impl WorkspaceShares {
    /// Sets the workspaces of a version of the configuration. Those without own claims matter as
    /// well, since other daemons may report some.
    pub fn set_workspaces(&mut self, version: u64, keys: impl Iterator<Item = ClaimKey>) {
        if self.configuration_version == Some(version) {
            return;
        }
        self.configuration_version = Some(version);
        let known = std::mem::take(&mut self.claims);
        let claim = |key| (key, known.get(&key).copied().unwrap_or_default());
        self.claims = keys.map(claim).collect();
    }

    /// Records the tokens that a request claims.
    pub fn on_request(&mut self, key: ClaimKey, tokens: u64, now: Duration) {
        let claim = self.claims.entry(key).or_default();
        claim.tokens = claim.tokens_at(now) + tokens as f64;
        claim.at = now;
    }

    /// Returns the claims that are large enough to matter by workspace, in tokens.
    pub fn claims(&self, now: Duration) -> impl Iterator<Item = (ClaimKey, f64)> {
        let claims = self.claims.iter();
        claims
            .map(move |(key, claim)| (*key, claim.tokens_at(now)))
            .filter(|(_, tokens)| *tokens >= CLAIM_MIN_TOKENS)
    }

    /// Returns the share of a workspace's requests to reject if `rejected_share` of all claims has
    /// to be rejected. `others` gives the claims that other daemons report.
    #[must_use]
    pub fn rejected_share(
        &self,
        key: ClaimKey,
        rejected_share: f64,
        others: impl Fn(ClaimKey) -> u64,
        now: Duration,
    ) -> f64 {
        if rejected_share <= 0.0 || rejected_share >= 1.0 {
            return rejected_share;
        }
        let tokens_of = |key: &ClaimKey, claim: &Claim| claim.tokens_at(now) + others(*key) as f64;
        let all = self.claims.iter();
        let claims: Vec<f64> = all
            .map(|(key, claim)| tokens_of(key, claim))
            .filter(|tokens| *tokens >= CLAIM_MIN_TOKENS)
            .collect();
        let own = self.claims.get(&key);
        let own = own.map_or(0.0, |claim| tokens_of(&key, claim));
        if claims.is_empty() {
            return rejected_share;
        }
        let equal = fair_limit(claims.clone(), 1.0 - rejected_share);
        let admitted_share = |tokens: f64| (equal / tokens.max(1.0)).min(1.0);
        let sum: f64 = claims.iter().map(|tokens| admitted_share(*tokens)).sum();
        let mean = sum / claims.len() as f64;
        1.0 - admitted_share(own).max(mean * SHARE_MIN_FRACTION)
    }
}

/// Returns the max-min fair limit: the amount up to which each claim is admitted, so that `fraction`
/// of all claims is admitted in total.
fn fair_limit(mut claims: Vec<f64>, fraction: f64) -> f64 {
    claims.sort_unstable_by(f64::total_cmp);
    let mut left: f64 = claims.iter().sum::<f64>() * fraction;
    for (index, tokens) in claims.iter().enumerate() {
        let equal = left / (claims.len() - index) as f64;
        if *tokens >= equal {
            return equal;
        }
        left -= tokens;
    }
    f64::INFINITY
}
