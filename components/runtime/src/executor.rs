//! Single-threaded executor of the process.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;

/// Interval at which the `tokio` timers, which `tarpc` uses, are polled, in milliseconds.
///
/// It only delays the cancellation of `tarpc` handlers past their deadline; callers use the
/// timers of `monoio`.
pub const TOKIO_TIMER_POLL_MS: u64 = 100;

/// Runs a future and the tasks that it spawns on the calling thread until the future completes.
///
/// Uses the epoll driver of `monoio`. A `tokio` runtime with only its timer enabled is entered
/// on the same thread, because `tarpc` implements its deadlines with `tokio` timers.
///
/// # Errors
///
/// Fails if the operating system cannot provide the resources for one of the two runtimes.
pub fn run<F: Future>(main: F) -> io::Result<F::Output> {
    let _ = clock::unix_ms();
    let tokio_runtime = Rc::new(
        tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()?,
    );
    let _tokio_context = tokio_runtime.enter();
    let mut executor = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    let output = executor.block_on(async {
        monoio::spawn(drive_tokio_timers(Rc::clone(&tokio_runtime)));
        main.await
    });
    Ok(output)
}

async fn drive_tokio_timers(tokio_runtime: Rc<tokio::runtime::Runtime>) {
    loop {
        monoio::time::sleep(Duration::from_millis(TOKIO_TIMER_POLL_MS)).await;
        tokio_runtime.block_on(tokio::task::yield_now());
    }
}
