//! Tests of the scheduler of an entry.

mod forecasts;
mod jobs;
mod support;
mod warm_up;
