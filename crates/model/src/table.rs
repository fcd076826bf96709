//! The routes in force.

use std::collections::BTreeMap;

use crate::account::Accounts;
use crate::batch::SubmissionRoute;
use crate::route::{Kind, Limits, Route, ServiceSettings, Target};

/// One version of the routes. It is immutable: a new version replaces it as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// Its version. Versions increase.
    pub version: u64,
    /// Limits on what clients may send.
    pub limits: Limits,
    /// The settings of the services, by name.
    pub services: BTreeMap<String, ServiceSettings>,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<Accounts>,
    routes: BTreeMap<String, Vec<Route>>,
}

impl Table {
    /// Creates a table. The routes of each host are sorted by prefix, the longest first.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        services: BTreeMap<String, ServiceSettings>,
        list: Vec<Route>,
    ) -> Self {
        let mut routes: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in list {
            routes.entry(route.host.clone()).or_default().push(route);
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            services,
            accounts: None,
            routes,
        }
    }

    /// Returns the table with client accounts of the same version.
    #[must_use]
    pub fn with_accounts(self, accounts: Accounts) -> Self {
        Self {
            accounts: Some(accounts),
            ..self
        }
    }

    /// Returns the route with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.find_where(host, path, |_| true)
    }

    /// Returns the route with the longest prefix of `path` among those that do not accept batches. A
    /// request that belongs to a batch does not end at a route that a later version adds for batches.
    #[must_use]
    pub fn find_plain(&self, host: &str, path: &str) -> Option<&Route> {
        self.find_where(host, path, |route| route.kind != Kind::Batch)
    }

    /// Returns the route with the longest prefix of `path` among those that accept batches.
    #[must_use]
    pub fn find_batch(&self, host: &str, path: &str) -> Option<&Route> {
        self.find_where(host, path, |route| route.kind == Kind::Batch)
    }

    /// Returns the route of a batch: the one that accepted it, also if its name or services have changed
    /// and if the path of the submission belongs to another route by now. If there is no route of that
    /// prefix any more, it is the route for batches with the longest prefix of the path. Paths of items
    /// do not matter.
    #[must_use]
    pub fn find_submission(&self, submission: &SubmissionRoute) -> Option<&Route> {
        let SubmissionRoute { host, path, prefix } = submission;
        let accepted = prefix.as_ref().and_then(|prefix| {
            let is_accepting =
                |route: &&Route| route.kind == Kind::Batch && route.prefix == *prefix;
            self.routes.get(host)?.iter().find(is_accepting)
        });
        accepted.or_else(|| self.find_batch(host, path))
    }

    fn find_where(
        &self,
        host: &str,
        path: &str,
        is_allowed: impl Fn(&Route) -> bool,
    ) -> Option<&Route> {
        let mut routes = self.routes.get(host)?.iter();
        routes.find(|route| path.starts_with(&route.prefix) && is_allowed(route))
    }

    /// Whether clients may use batches of `host` without a key.
    #[must_use]
    pub fn has_open_batches(&self, host: &str) -> bool {
        let routes = self.routes.get(host).into_iter().flatten();
        let mut batches = routes.filter(|route| route.kind == Kind::Batch);
        batches.any(|route| route.is_open)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }
}

/// Chooses one of the targets in proportion to their weights. `draw` is a random number from 0 to 1.
/// Targets with weight 0 are never chosen.
#[must_use]
pub fn draw_target(targets: &[Target], draw: f64) -> Option<&Target> {
    let total: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let mut remaining = draw * total;
    let mut last = None;
    for target in targets.iter().filter(|target| target.weight > 0) {
        remaining -= f64::from(target.weight);
        last = Some(target);
        if remaining < 0.0 {
            break;
        }
    }
    last
}
