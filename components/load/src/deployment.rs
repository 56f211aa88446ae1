//! The two simulated deployments: hosts, failure domains and network delays.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A deployment of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Deployment {
    /// Four failure domains, 1.4 ms apart.
    Vembanad,
    /// Three failure domains, 0.5 ms apart.
    Consorcio,
}

/// Number of target hosts in either deployment.
pub const HOSTS: usize = 11;

/// Tasks that a target runs at the same time.
pub const SLOTS: u16 = 8;

/// Connections that a target accepts.
pub const CONNECTIONS: u16 = 64;

/// Hosts in one rack.
pub const RACK_HOSTS: usize = 3;

/// One-way delay between a client and an entry, in microseconds.
pub const CLIENT_DELAY_US: u64 = 1_000;

/// One-way delay within a failure domain, in microseconds.
pub const LOCAL_DELAY_US: u64 = 100;

impl Deployment {
    /// Returns the number of failure domains.
    #[must_use]
    pub fn domain_count(self) -> usize {
        match self {
            Self::Vembanad => 4,
            Self::Consorcio => 3,
        }
    }

    /// Returns the one-way delay between two failure domains, in microseconds.
    #[must_use]
    pub fn one_way_us(self) -> u64 {
        match self {
            Self::Vembanad => 1_400,
            Self::Consorcio => 500,
        }
    }

    /// Returns the failure domain of a host; the hosts of a rack share one.
    #[must_use]
    pub fn domain_of(self, host: usize) -> usize {
        (host / RACK_HOSTS) % self.domain_count()
    }

    /// Returns the round trip from a client through an entry to a target, in microseconds.
    #[must_use]
    pub fn round_trip_us(self) -> u64 {
        2 * (CLIENT_DELAY_US + self.one_way_us())
    }
}
