//! Regions to which a request and its cached prompt are confined.

use indexmap::IndexMap;

/// Regions to which the route and the workspace of a request confine it.
#[derive(Clone, Copy, Debug)]
pub struct RegionConstraints<'a> {
    /// Region of each failure domain, from the daemon's settings.
    pub regions: &'a IndexMap<String, String>,
    /// Regions that the route allows. Empty allows all.
    pub route: &'a [String],
    /// Regions that the workspace allows. Empty allows all.
    pub workspace: &'a [String],
}

impl RegionConstraints<'_> {
    /// Returns whether the request and the cached parts of its prompt may go to a failure
    /// domain. A domain whose region is not known is allowed only for requests that are not
    /// confined.
    #[must_use]
    pub fn allow(&self, failure_domain: &str) -> bool {
        if self.route.is_empty() && self.workspace.is_empty() {
            return true;
        }
        let Some(region) = self.regions.get(failure_domain) else {
            return false;
        };
        let allows = |regions: &[String]| regions.is_empty() || regions.contains(region);
        allows(self.route) && allows(self.workspace)
    }
}
