//! The durable record of the software versions of a service.

use std::collections::BTreeSet;

use tamaracksail_model::plain;

plain! {
    /// The software versions at which streams of a service may have begun. It outlives all gateways.
    pub struct SoftwareRecord {
        /// The versions.
        pub versions: BTreeSet<String>,
        /// Whether no stream that a client may take up began at another version.
        pub is_complete: bool,
    }
}

/// What a gateway has observed of the versions of a service.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The versions of the servers that are registered.
    pub registered: BTreeSet<String>,
    /// The versions of servers that were registered until recently.
    pub recent: BTreeSet<String>,
    /// Whether it has observed registrations for so long that `recent` has all such versions.
    pub is_settled: bool,
    /// Whether it has also known the record for as long.
    pub has_known_record: bool,
}

impl SoftwareRecord {
    /// Returns the first record of a service. It is complete at once if the deployment is new, so that
    /// no stream can have begun before (`is_bootstrap`).
    #[must_use]
    pub fn first(observed: &Observed, is_bootstrap: bool) -> Self {
        Self {
            versions: observed
                .registered
                .union(&observed.recent)
                .cloned()
                .collect(),
            is_complete: is_bootstrap,
        }
    }

    /// Returns the version at which every stream of the service began, if there is only one.
    #[must_use]
    pub fn only(&self) -> Option<&str> {
        let mut versions = self.versions.iter();
        let only = versions.next()?;
        (self.is_complete && versions.next().is_none()).then_some(only)
    }

    /// Returns the version at which a stream began of which no gateway has a copy, given a record that was
    /// read after the stream was interrupted; `None` if that cannot be told.
    ///
    /// `settled` is the only version that a gateway has observed for long. Its view may be late, as it may
    /// have been cut off or have stood still. A version that joined meanwhile is in the record, since
    /// no stream begins before.
    #[must_use]
    pub fn began_at<'a>(&'a self, settled: Option<&'a str>) -> Option<&'a str> {
        let is_only = |version: &&str| self.versions.iter().all(|found| found == version);
        self.only().or_else(|| settled.filter(is_only))
    }

    /// Returns the versions that may be removed: no server of them has been registered for long. None
    /// while no server of another version is registered, as all servers may be missing.
    #[must_use]
    pub fn removable(&self, observed: &Observed) -> BTreeSet<String> {
        let Observed {
            registered, recent, ..
        } = observed;
        if !observed.is_settled || registered.is_empty() {
            return BTreeSet::new();
        }
        let is_gone =
            |version: &&String| !registered.contains(*version) && !recent.contains(*version);
        self.versions.iter().filter(is_gone).cloned().collect()
    }

    /// Returns the record with the registered versions and without those in `removed`.
    #[must_use]
    pub fn updated(&self, observed: &Observed, removed: &BTreeSet<String>) -> Self {
        let versions = self.versions.union(&observed.registered);
        Self {
            versions: versions
                .filter(|version| !removed.contains(*version))
                .cloned()
                .collect(),
            is_complete: self.is_complete || (observed.is_settled && observed.has_known_record),
        }
    }

    /// Whether the record will change without an event: it becomes complete, or a version can be
    /// removed.
    #[must_use]
    pub fn is_changing(&self, observed: &Observed) -> bool {
        let has_unregistered = !observed.registered.is_superset(&self.versions);
        !self.is_complete || (has_unregistered && !observed.registered.is_empty())
    }
}
