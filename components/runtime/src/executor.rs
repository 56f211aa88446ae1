//! The single-threaded executor of a process.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;

/// Interval at which the timer that `tarpc` uses is advanced, in milliseconds.
///
/// Only the end of handlers past their deadline waits for it; callers have a timer of `monoio`.
pub const TIMER_TURN_MS: u64 = 100;

/// Runs a future to completion on the calling thread, together with all that it spawns.
///
/// Uses the epoll driver of `monoio`. A `tokio` runtime of which only the timer is
/// enabled is entered on the same thread, because `tarpc` takes its deadlines from it.
///
/// # Errors
///
/// Fails if the system refuses the resources for one of the two runtimes.
pub fn run<F: Future>(main: F) -> io::Result<F::Output> {
    let _ = clock::unix_ms();
    let timers = Rc::new(
        tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()?,
    );
    let _context = timers.enter();
    let mut executor = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    let output = executor.block_on(async {
        monoio::spawn(turn_timers(Rc::clone(&timers)));
        main.await
    });
    Ok(output)
}

async fn turn_timers(timers: Rc<tokio::runtime::Runtime>) {
    loop {
        monoio::time::sleep(Duration::from_millis(TIMER_TURN_MS)).await;
        timers.block_on(tokio::task::yield_now());
    }
}
