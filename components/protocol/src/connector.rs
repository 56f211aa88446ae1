//! What a process opens connections with.

use model::ProcessKey;

use crate::traffic::Traffic;
use crate::version::{PeerVersions, VersionRange};

/// What a process opens connections with; clones share their counters.
#[derive(Debug, Clone)]
pub struct Connector {
    pub(crate) own_key: ProcessKey,
    pub(crate) traffic: Traffic,
    pub(crate) versions: PeerVersions,
}

impl Connector {
    /// Builds a connector for the process with the key `own_key`.
    #[must_use]
    pub fn new(own_key: ProcessKey) -> Self {
        Self {
            own_key,
            traffic: Traffic::default(),
            versions: PeerVersions::default(),
        }
    }

    /// Uses only these versions, of those that the program supports; for tests and measurements.
    #[must_use]
    pub fn limited_to(mut self, versions: VersionRange) -> Self {
        self.versions = PeerVersions::new(versions);
        self
    }

    /// Returns the counters of traffic.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns what is known of the versions of peers.
    #[must_use]
    pub fn versions(&self) -> &PeerVersions {
        &self.versions
    }
}
