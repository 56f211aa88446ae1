//! Runs a case: `review-cases CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod executor;
mod http;
mod json;
mod record;
mod rig;
mod store;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Time after which a case ends that does not end by itself.
const LIMIT: Duration = Duration::from_secs(100);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE RECORD");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case did not end in time");
        rig::end_processes();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = cases::run(name, has_trouble);
    match result {
        Ok((record, verdict)) => {
            let text = match &verdict {
                cases::Verdict::Held => "the rule held".to_owned(),
                cases::Verdict::Broken(text) => format!("the rule was broken: {text}"),
                cases::Verdict::NotRun(text) => format!("the case could not run: {text}"),
            };
            record.line(&text);
            println!("{text}");
            if let Err(error) = record.write(path) {
                eprintln!("{path}: {error}");
                return ExitCode::from(2);
            }
            match verdict {
                cases::Verdict::Held => ExitCode::SUCCESS,
                cases::Verdict::Broken(_) => ExitCode::from(1),
                cases::Verdict::NotRun(_) => ExitCode::from(2),
            }
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
