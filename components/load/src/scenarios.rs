//! Scenarios of the policy comparison.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::deployment::{Deployment, HOSTS, RACK_HOSTS};
use crate::scenario::{Fault, FirmLoad, Scenario, ScenarioBuilder};

const SECOND_US: u64 = 1_000_000;

/// Slowness of targets on hardware of different ages.
const UNEVEN: [f64; HOSTS] = [0.5, 0.6, 0.75, 0.9, 1.0, 1.0, 1.2, 1.5, 2.0, 2.5, 3.0];

/// Name of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ScenarioName {
    /// Offered load of 50% of the capacity.
    Load50,
    /// Offered load of 80% of the capacity.
    Load80,
    /// Offered load of 95% of the capacity.
    Load95,
    /// Offered load of twice the capacity.
    Load200,
    /// Offered load of five times the capacity.
    Load500,
    /// Offered load of ten times the capacity.
    Load1000,
    /// Targets of very different speeds.
    Uneven,
    /// Targets of very different speeds at 95% of their capacity.
    UnevenLoad95,
    /// Declared run times that differ from the real ones by a factor of up to ten.
    WrongSizes,
    /// Some tasks take ten times as long.
    Stragglers,
    /// One host fails every task immediately.
    FailingHost,
    /// One job in ten fails wherever it runs.
    BrokenJobs,
    /// A short burst above the capacity.
    Burst,
    /// Half of the jobs in progress are cancelled at the same time, twice.
    CancelWave,
    /// All hosts of a rack are lost.
    RackLost,
    /// Hosts are replaced one after another.
    RollingReplacement,
    /// A steady firm alone at shared targets.
    SteadyAlone,
    /// A steady firm with another that overloads the shared targets.
    Flood,
    /// Like [`Self::Flood`], with two entries.
    FloodTwoEntries,
    /// Load from the first moment, without a warmup or learned run times.
    ColdStart,
    /// The platform is unavailable while hosts are replaced.
    PlatformOutage,
    /// Three entries share the targets.
    ThreeEntries,
}

impl ScenarioName {
    /// Returns the scenario for a deployment.
    #[must_use]
    pub fn scenario(self, deployment: Deployment) -> Scenario {
        let builder = ScenarioBuilder::new(self.into(), deployment);
        match self {
            Self::Load50 => builder.offered(0.5),
            Self::Load80 => builder.offered(0.8),
            Self::Load95 => builder.offered(0.95),
            Self::Load200 => builder.offered(2.0),
            Self::Load500 => builder.offered(5.0),
            Self::Load1000 => builder.offered(10.0),
            Self::Uneven => builder.offered(0.6).slowness(&UNEVEN),
            Self::UnevenLoad95 => builder.offered(0.95).slowness(&UNEVEN),
            Self::WrongSizes => builder.offered(0.8).declared_error(10.0),
            Self::Stragglers => builder.offered(0.6).straggler_probability(0.005),
            Self::FailingHost => builder
                .offered(0.6)
                .fault(10 * SECOND_US, Fault::FailAll { host: 2 })
                .fault(22 * SECOND_US, Fault::Recover { host: 2 }),
            Self::BrokenJobs => builder.offered(0.6).broken_jobs(0.1),
            Self::Burst => builder
                .offered(0.5)
                .burst(10 * SECOND_US, 13 * SECOND_US, 3.0),
            Self::CancelWave => builder
                .offered(0.9)
                .fault(10 * SECOND_US, Fault::CancelWave { percent: 50 })
                .fault(20 * SECOND_US, Fault::CancelWave { percent: 50 }),
            Self::RackLost => rack_lost(builder.offered(0.5)),
            Self::RollingReplacement => add_replacements(builder.offered(0.6), 6 * SECOND_US),
            Self::SteadyAlone => builder.offered(0.3),
            Self::Flood => builder.offered(0.3).firm(flooding_firm()),
            Self::FloodTwoEntries => builder.offered(0.3).firm(flooding_firm()).entries(2),
            Self::ColdStart => builder
                .offered(0.8)
                .declared_error(10.0)
                .slowness(&UNEVEN)
                .duration_us(10 * SECOND_US, 0),
            Self::PlatformOutage => add_replacements(
                builder
                    .offered(0.5)
                    .fault(8 * SECOND_US, Fault::PlatformDown),
                9 * SECOND_US,
            )
            .fault(24 * SECOND_US, Fault::PlatformUp),
            Self::ThreeEntries => builder.offered(0.8).entries(3),
        }
        .build()
    }
}

fn flooding_firm() -> FirmLoad {
    FirmLoad {
        name: "flooding",
        offered: 0.0,
        weight: 1,
        burst: Some((2 * SECOND_US, u64::MAX, 4.0)),
    }
}

fn rack_lost(builder: ScenarioBuilder) -> ScenarioBuilder {
    (0..RACK_HOSTS).fold(builder, |builder, host| {
        builder.fault(12 * SECOND_US, Fault::Kill { host })
    })
}

/// Replaces five hosts, one every three seconds.
fn add_replacements(builder: ScenarioBuilder, from_us: u64) -> ScenarioBuilder {
    (0..5).fold(builder, |builder, host| {
        let at_us = from_us + host as u64 * 3 * SECOND_US;
        builder.fault(at_us, Fault::Replace { host })
    })
}
