//! Tests of the scheduler of an entry.

mod crashes;
mod evacuation;
mod forecasts;
mod interference;
mod jobs;
mod support;
mod warm_up;
