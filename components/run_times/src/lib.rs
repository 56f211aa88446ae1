//! Run times of tasks: how long the tasks of a queue take, and how fast a host is.
//!
//! Declared run times may be wrong by any factor. [`Kinds`] learns, for each kind of task, how its
//! declared times relate to the times that were measured; [`HostSpeed`] learns the speed of a host
//! from many runs of many kinds. Each is corrected by the other, so that a wrong declaration does not
//! make a host look slow, and a slow host does not make its tasks look long.
//!
//! The crate does no I/O and reads no clock: it takes measurements and the current time.

mod chance;
mod distribution;
mod kinds;
mod regression;
mod speed;

pub use chance::{Race, chance_in_time};
pub use distribution::RunTime;
pub use kinds::{KindSlot, Kinds};
pub use speed::{HostSpeed, SpeedSample, reference_speed};
