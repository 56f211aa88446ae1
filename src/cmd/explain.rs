//! Prints the course of a request from the logs of processes.

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
    summary: "print a request's course from logs",
    run,
};

/// Fields that every line has and the course shows otherwise.
const SHOWN_FIELDS: [&str; 7] = ["time", "level", "part", "message", "event", "id", "request"];

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let id = arguments.positional(0);
    let logs = match arguments.text("logs") {
        Some(paths) => read_files(&paths)?,
        None => read_input()?,
    };
    let course = course(id, &logs);
    if course.is_empty() {
        let text = format!("no line speaks of `{id}`");
        return Err(Error::new(ExitCode::Failure, text).with_remedy(
            "give the logs of all entries and agents; lines of jobs that went well are only \
             written at level debug",
        ));
    }
    print(&course)
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.optopt(
        "l",
        "logs",
        "files of log lines, separated by commas",
        "FILES",
    );
    let summary = "Prints what processes logged about a job or a request, in order of time. Reads \
                   standard input\nwithout --logs.";
    Usage::new("shallotcross explain", &["ID"], summary, options)
}

fn read_files(paths: &str) -> Result<String> {
    let mut logs = String::new();
    for path in paths.split(',') {
        let bytes = fs::read(Path::new(path)).map_err(|error| {
            Error::new(ExitCode::Failure, format!("cannot be read: {error}"))
                .with_place(path)
                .with_remedy("name a file of log lines that this user may read")
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

/// A log line about the request.
struct Line {
    time: String,
    text: String,
}

/// Returns the lines about a job or a request, in order of time.
///
/// A request's id leads to its job's id, under which agents log.
fn course(id: &str, logs: &str) -> String {
    let lines: Vec<Map<String, Value>> = logs.lines().filter_map(parse).collect();
    let named = |line: &Map<String, Value>, field: &str, id: &str| {
        line.get(field).and_then(Value::as_str) == Some(id)
    };
    let of_request = lines.iter().find(|line| named(line, "request", id));
    let job = of_request.and_then(|line| line.get("id")?.as_str());
    let job = job.unwrap_or(id);
    let mut found: Vec<Line> = lines
        .iter()
        .filter(|line| named(line, "id", job) || named(line, "request", id))
        .map(render)
        .collect();
    found.sort_by(|one, other| one.time.cmp(&other.time));
    found
        .into_iter()
        .map(|line| format!("{}\n", line.text))
        .collect()
}

/// Parses a line; whatever stands before the JSON object is left out.
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
        if !SHOWN_FIELDS.contains(&name.as_str()) {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    Line {
        time: field("time").to_owned(),
        text,
    }
}
