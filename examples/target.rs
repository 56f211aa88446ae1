//! Runs the stand-in of a target as a separate process.

use std::error::Error;
use std::future::pending;
use std::net::SocketAddr;

use getopts::{Matches, Options};
use monoio::{LegacyDriver, RuntimeBuilder};
use standins::{TargetStandin, TargetStandinBuilder};

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("l", "listen", "address to listen on", "ADDR");
    options.optopt("a", "announce-to", "address of the agent", "ADDR");
    options.optopt("n", "name", "name of the target", "NAME");
    options.optopt("g", "group", "group of the target", "NAME");
    options.optmulti("f", "firm", "firm to serve, may be repeated", "NAME");
    options.optopt("s", "slots", "maximum number of concurrent tasks", "N");
    options.optopt("c", "connections", "maximum number of connections", "N");
    options.optopt("", "speed", "divisor of run times", "X");
    options.optopt(
        "",
        "ttl-ms",
        "time for which an announcement is valid",
        "MS",
    );
    options
}

fn settings(matches: &Matches) -> Result<TargetStandinBuilder, Box<dyn Error>> {
    let listen = matches.opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 9000)))?;
    let mut builder = TargetStandin::builder(listen)
        .name(matches.opt_get_default("name", "target".to_owned())?)
        .group(matches.opt_get_default("group", "default".to_owned())?);
    for firm in matches.opt_strs("firm") {
        builder = builder.firm(firm);
    }
    if let Some(agent) = matches.opt_get("announce-to")? {
        builder = builder.announce_to(agent);
    }
    if let Some(slots) = matches.opt_get("slots")? {
        builder = builder.slots(slots);
    }
    if let Some(connections) = matches.opt_get("connections")? {
        builder = builder.connections(connections);
    }
    if let Some(ttl_ms) = matches.opt_get("ttl-ms")? {
        builder = builder.ttl_ms(ttl_ms);
    }
    with_speed(builder, matches)
}

fn with_speed(
    builder: TargetStandinBuilder,
    matches: &Matches,
) -> Result<TargetStandinBuilder, Box<dyn Error>> {
    match matches.opt_get::<f64>("speed")? {
        None => Ok(builder),
        Some(speed) if speed.is_finite() && speed > 0.0 => Ok(builder.speed(speed)),
        Some(_) => Err("--speed must be positive".into()),
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: target [options]"));
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
