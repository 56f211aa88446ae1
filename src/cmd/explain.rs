//! Prints the timeline of a request, collected from the logs of several processes.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use errors::{Error, ExitCode, Result};
use getopts::Options;
use serde_json::{Map, Value};

use crate::cli::{Command, Usage, print};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "explain",
    summary: "print the timeline of a request from logs",
    run,
};

/// Fields that [`render`] prints in columns or leaves out, rather than as `name=value`.
const COLUMN_FIELDS: [&str; 7] = ["time", "level", "part", "message", "event", "id", "request"];

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let id = arguments.positional(0);
    let logs = match arguments.value("logs") {
        Some(paths) => read_files(&paths)?,
        None => read_input()?,
    };
    let timeline = timeline(id, &logs);
    if timeline.is_empty() {
        let text = format!("no log line mentions `{id}`");
        return Err(Error::new(ExitCode::Failure, text).with_remedy(
            "pass the logs of all entries and agents; successful jobs are only logged at level \
             debug",
        ));
    }
    print(&timeline)
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.optopt(
        "l",
        "logs",
        "files of log lines, separated by commas",
        "FILES",
    );
    let summary = "Prints what processes logged about a job or a request, ordered by time. Reads \
                   standard input\nwithout --logs.";
    Usage::new("shallotcross explain", &["ID"], summary, options)
}

fn read_files(paths: &str) -> Result<String> {
    let mut logs = String::new();
    for path in paths.split(',') {
        let bytes = fs::read(Path::new(path)).map_err(|error| {
            Error::new(ExitCode::Failure, format!("cannot be read: {error}"))
                .with_place(path)
                .with_remedy("pass a readable file of log lines")
        })?;
        logs.push_str(&String::from_utf8_lossy(&bytes));
        logs.push('\n');
    }
    Ok(logs)
}

fn read_input() -> Result<String> {
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes).map_err(|error| {
        Error::new(ExitCode::Failure, format!("cannot read the input: {error}"))
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// A rendered log line with its sort key.
struct Line {
    time: String,
    text: String,
}

/// Returns the lines about a job or a request, ordered by time.
///
/// Agents log the job id only, so a request id is first resolved to the id of its job.
fn timeline(id: &str, logs: &str) -> String {
    let lines: Vec<Map<String, Value>> = logs.lines().filter_map(parse).collect();
    let has_id = |line: &Map<String, Value>, field: &str, id: &str| {
        line.get(field).and_then(Value::as_str) == Some(id)
    };
    let of_request = lines.iter().find(|line| has_id(line, "request", id));
    let job = of_request.and_then(|line| line.get("id")?.as_str());
    let job = job.unwrap_or(id);
    let mut rendered: Vec<Line> = lines
        .iter()
        .filter(|line| has_id(line, "id", job) || has_id(line, "request", id))
        .map(render)
        .collect();
    rendered.sort_by(|one, other| one.time.cmp(&other.time));
    rendered
        .into_iter()
        .map(|line| format!("{}\n", line.text))
        .collect()
}

/// Parses a line, skipping any prefix before the JSON object, such as that of a log collector.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let object = &line[line.find('{')?..];
    serde_json::from_str(object).ok()
}

fn render(line: &Map<String, Value>) -> Line {
    let field = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or("-");
    let mut text = format!(
        "{} {:<8} {:<10} {}",
        field("time"),
        field("part"),
        field("event"),
        field("message")
    );
    for (name, value) in line {
        if !COLUMN_FIELDS.contains(&name.as_str()) {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    Line {
        time: field("time").to_owned(),
        text,
    }
}
