//! Regions to which a request is confined.

use indexmap::IndexMap;

/// The regions that a request may use.
#[derive(Clone, Copy, Debug)]
pub struct RegionConstraints<'a> {
    /// Region of each failure domain.
    pub regions: &'a IndexMap<String, String>,
    /// Regions to which the route is confined. Empty allows all.
    pub route: &'a [String],
    /// Regions to which the workspace is confined. Empty allows all.
    pub workspace: &'a [String],
}

impl RegionConstraints<'_> {
    /// Whether the request, or what is kept of its prompt, may go to a failure domain. A domain of
    /// unknown region is used only by requests that are not confined.
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
