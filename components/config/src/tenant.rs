//! Tenants: each firm, and each team of a firm, has its own jobs and limits.

use model::{FirmKey, FirmShare};

use crate::configuration::{Configuration, Firm, Principal, Team};

/// Factor by which weights are scaled, so that a firm's weight can be divided among its teams in
/// integers.
const TENANT_WEIGHT_SCALE: u64 = 1_000;

/// A firm or a team, with its own job ids, shards, quota and share of the targets.
#[derive(Debug, Clone, Copy)]
pub struct Tenant<'a> {
    /// Name of the firm.
    pub firm_name: &'a str,
    /// The firm.
    pub firm: &'a Firm,
    /// Name of the team and the team, unless the tenant is the firm itself.
    pub team: Option<(&'a str, &'a Team)>,
}

impl Tenant<'_> {
    /// Returns the key of the tenant's jobs and shards.
    #[must_use]
    pub fn key(&self) -> FirmKey {
        FirmKey::from_name(&self.name())
    }

    /// Returns the key of the firm.
    #[must_use]
    pub fn firm_key(&self) -> FirmKey {
        FirmKey::from_name(self.firm_name)
    }

    /// Returns the name in the form `FIRM` or `FIRM/TEAM`.
    #[must_use]
    pub fn name(&self) -> String {
        match self.team {
            Some((team, _)) => format!("{}/{team}", self.firm_name),
            None => self.firm_name.to_owned(),
        }
    }

    /// Returns the maximum number of the tenant's tasks in progress.
    #[must_use]
    pub fn quota_tasks(&self) -> u32 {
        match self.team {
            Some((_, team)) => team.quota(self.firm),
            None => self.firm.quota_tasks,
        }
    }

    /// Returns the tenant's share of targets that several tenants use.
    ///
    /// The firm's weight is divided among its teams by their weights; the firm's own jobs count as
    /// a team of weight one.
    #[must_use]
    pub fn share(&self) -> FirmShare {
        let teams = self.firm.teams.values();
        let total_weight: u64 = 1 + teams.map(|team| u64::from(team.weight)).sum::<u64>();
        let own_weight = self.team.map_or(1, |(_, team)| u64::from(team.weight));
        let scaled = u64::from(self.firm.weight) * TENANT_WEIGHT_SCALE * own_weight / total_weight;
        FirmShare {
            firm: self.key(),
            weight: u32::try_from(scaled.max(1)).unwrap_or(u32::MAX),
        }
    }
}

impl Configuration {
    /// Returns the tenants: each firm, followed by its teams.
    pub fn tenants(&self) -> impl Iterator<Item = Tenant<'_>> {
        self.firms.iter().flat_map(|(firm_name, firm)| {
            let own = Tenant {
                firm_name,
                firm,
                team: None,
            };
            let teams = firm.teams.iter().map(move |(name, team)| Tenant {
                team: Some((name.as_str(), team)),
                ..own
            });
            std::iter::once(own).chain(teams)
        })
    }

    /// Returns the tenant with the given key.
    #[must_use]
    pub fn tenant(&self, key: FirmKey) -> Option<Tenant<'_>> {
        self.tenants().find(|tenant| tenant.key() == key)
    }
}

impl Principal<'_> {
    /// Returns the key of the tenant, or `None` for the operators.
    #[must_use]
    pub fn tenant_key(&self) -> Option<FirmKey> {
        match self {
            Self::Operators => None,
            Self::Firm(firm) => Some(FirmKey::from_name(firm)),
            Self::Team { firm, team } => Some(FirmKey::from_name(&format!("{firm}/{team}"))),
        }
    }
}
