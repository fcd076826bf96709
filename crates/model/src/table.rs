//! The routes in force.

use std::collections::BTreeMap;

use crate::route::{Limits, Route, Target};

/// One version of the routes. Immutable: a new version replaces the whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// Its version. Versions rise.
    pub version: u64,
    /// What clients may send.
    pub limits: Limits,
    /// The most connections that a backend server of a service takes, by service.
    pub connections: BTreeMap<String, usize>,
    routes: BTreeMap<String, Vec<Route>>,
}

impl Table {
    /// Builds the table. Routes of a host are kept with the longest prefix first.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        connections: BTreeMap<String, usize>,
        list: Vec<Route>,
    ) -> Self {
        let mut routes: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in list {
            routes.entry(route.host.clone()).or_default().push(route);
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            connections,
            routes,
        }
    }

    /// The route with the longest prefix that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }
}

/// The service that answers, drawn by weight with `draw` from 0 to 1. Targets without weight
/// are never drawn.
#[must_use]
pub fn draw_target(targets: &[Target], draw: f64) -> Option<&Target> {
    let total: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let mut left = draw * total;
    let mut last = None;
    for target in targets.iter().filter(|target| target.weight > 0) {
        left -= f64::from(target.weight);
        last = Some(target);
        if left < 0.0 {
            break;
        }
    }
    last
}
