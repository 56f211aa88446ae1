//! Runs the stand-in of the platform as a separate process.

use std::error::Error;
use std::future::pending;
use std::net::SocketAddr;

use getopts::{Matches, Options};
use monoio::{LegacyDriver, RuntimeBuilder};
use standins::{Overload, PlatformStandin, PlatformStandinBuilder};

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("l", "listen", "address to listen on", "ADDR");
    options.optopt("", "writes-per-s", "maximum writes per second", "N");
    options.optopt("", "reads-per-s", "maximum reads per second", "N");
    options.optflag(
        "",
        "delay",
        "delay calls above the rates instead of rejecting them",
    );
    options.optopt("", "seed", "seed of the random faults", "N");
    options
}

fn settings(matches: &Matches) -> Result<PlatformStandinBuilder, Box<dyn Error>> {
    let listen = matches.opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 2379)))?;
    let mut builder = PlatformStandin::builder(listen);
    if let Some(rate) = matches.opt_get("writes-per-s")? {
        builder = builder.writes_per_s(rate);
    }
    if let Some(rate) = matches.opt_get("reads-per-s")? {
        builder = builder.reads_per_s(rate);
    }
    if matches.opt_present("delay") {
        builder = builder.overload(Overload::Delay);
    }
    if let Some(seed) = matches.opt_get("seed")? {
        builder = builder.seed(seed);
    }
    Ok(builder)
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: platform [options]"));
        return Ok(());
    }
    let builder = settings(&matches)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    runtime.block_on(async {
        let standin = builder.start().await?;
        println!("listening on {}", standin.address());
        pending::<()>().await;
        Ok(())
    })
}
