//! Which kinds of task slow each other down on one host, from run times that are measured anyway.
//!
//! It is made for hosts that run up to a few dozen tasks of up to [`MAX_KINDS`] kinds at a time, and
//! complete up to some hundred runs a second. At an agent, [`Exposures`] records beside which kinds each
//! run spent its time, and [`Estimator`] estimates the effects of the kinds on each other. At an entry,
//! [`Beliefs`] combines the estimates of many hosts. `docs/design/interference.md` has the reasons.
//!
//! The crate does no I/O and reads no clock: it takes measurements and the current time.

mod beliefs;
mod estimator;
mod exposure;
mod regression;
mod slots;

pub use beliefs::{Beliefs, Change, PRIOR_DEVIATION};
pub use estimator::{Estimator, Measurement};
pub use exposure::{Exposure, Exposures, Start};
pub use slots::MAX_KINDS;
