//! Command-line parsing, help texts and output.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::process;
use std::str::FromStr;

use errors::{Error, ExitCode, Result};
use getopts::{Matches, Options};

/// Width of the column of command names in the help text.
const COMMAND_NAME_WIDTH: usize = 10;

/// A binary of this package.
#[derive(Debug)]
pub struct Program {
    /// Name of the binary.
    pub(crate) name: &'static str,
    /// Runs the program with the arguments that follow the name of the binary.
    pub(crate) run: fn(&[String]) -> Result<ExitCode>,
}

/// A command of a program.
#[derive(Debug)]
pub(crate) struct Command {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// One-line description for the help text.
    pub(crate) summary: &'static str,
    /// Runs the command with the arguments that follow its name.
    pub(crate) run: fn(&[String]) -> Result<ExitCode>,
}

/// Syntax and help text of a command line.
pub(crate) struct Usage {
    command: &'static str,
    positional: &'static [&'static str],
    summary: &'static str,
    options: Options,
}

/// Parsed arguments of a command.
#[derive(Debug)]
pub(crate) struct Arguments {
    matches: Matches,
}

/// Runs a program with the arguments of the process and prints its error, if any.
#[must_use]
pub fn run_program(program: &Program) -> process::ExitCode {
    let args: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    match (program.run)(&args) {
        Ok(code) => code.into(),
        Err(error) => {
            print_error(&format!("{}: {error}\n", program.name));
            error.exit_code.into()
        }
    }
}

/// Runs the command named by the first argument.
pub(crate) fn run_command(
    program: &str,
    commands: &[&Command],
    args: &[String],
) -> Result<ExitCode> {
    let Some((name, args)) = args.split_first() else {
        print_error(&program_help(program, commands));
        return Ok(ExitCode::Usage);
    };
    match name.as_str() {
        "-h" | "--help" => return print(&program_help(program, commands)),
        "-V" | "--version" => return print(&version(program)),
        _ => {}
    }
    match commands.iter().find(|command| command.name == name) {
        Some(command) => (command.run)(args),
        None => Err(usage_error(format!("no command `{name}`"))
            .with_remedy(format!("`{program} --help` lists the commands"))),
    }
}

/// Returns the output of `--version`.
pub(crate) fn version(program: &str) -> String {
    format!("{program} {}\n", env!("CARGO_PKG_VERSION"))
}

/// Prints to standard output; a closed pipe is not an error.
pub(crate) fn print(text: &str) -> Result<ExitCode> {
    let mut output = io::stdout().lock();
    let written = output.write_all(text.as_bytes());
    match written.and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(Error::new(
            ExitCode::Failure,
            format!("cannot write the output: {error}"),
        )),
        _ => Ok(ExitCode::Ok),
    }
}

/// Prints to standard error.
pub(crate) fn print_error(text: &str) {
    // A failure to write to stderr cannot be reported anywhere.
    let _ = io::stderr().lock().write_all(text.as_bytes());
}

/// Prints a report to standard output if the exit code is `Ok`, else to standard error.
pub(crate) fn print_report(text: &str, code: ExitCode) -> Result<ExitCode> {
    if code == ExitCode::Ok {
        return print(text);
    }
    print_error(text);
    Ok(code)
}

/// Returns an error about the command line.
pub(crate) fn usage_error(message: impl Into<String>) -> Error {
    Error::new(ExitCode::Usage, message)
}

impl Usage {
    /// Creates the usage of a command; `command` is the full name, such as `shallotcross serve`.
    pub(crate) fn new(
        command: &'static str,
        positional: &'static [&'static str],
        summary: &'static str,
        mut options: Options,
    ) -> Self {
        options.optflag("h", "help", "print this text");
        Self {
            command,
            positional,
            summary,
            options,
        }
    }

    /// Parses the arguments; returns `None` if `--help` was given and the help text printed.
    ///
    /// # Errors
    ///
    /// Fails on an unknown option, a missing required argument or an extra one.
    pub(crate) fn parse(&self, args: &[String]) -> Result<Option<Arguments>> {
        let mut names = args.iter().take_while(|arg| *arg != "--");
        if names.any(|arg| arg == "-h" || arg == "--help") {
            return print(&self.help()).map(|_| None);
        }
        let parsed = self.options.parse(args);
        let matches = parsed.map_err(|error| self.error(&error.to_string()))?;
        self.check_positional(&matches.free)?;
        Ok(Some(Arguments { matches }))
    }

    fn check_positional(&self, free: &[String]) -> Result<()> {
        if let Some(missing) = self.positional.get(free.len()) {
            return Err(self.error(&format!("{missing} is missing")));
        }
        match free.get(self.positional.len()) {
            Some(extra) => Err(self.error(&format!("unexpected argument `{extra}`"))),
            None => Ok(()),
        }
    }

    fn error(&self, message: &str) -> Error {
        usage_error(message.trim_end_matches('.'))
            .with_remedy(format!("see `{} --help`", self.command))
    }

    fn help(&self) -> String {
        let mut usage = format!("Usage: {}", self.command);
        for name in self.positional {
            usage.push(' ');
            usage.push_str(name);
        }
        usage.push_str(" [options]\n\n");
        usage.push_str(self.summary);
        self.options.usage(&usage)
    }
}

impl Arguments {
    /// Returns a positional argument; [`Usage::parse`] has checked that it is present.
    pub(crate) fn positional(&self, index: usize) -> &str {
        &self.matches.free[index]
    }

    /// Returns whether a flag is set.
    pub(crate) fn has_flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns the value of an option.
    pub(crate) fn value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Returns the value of a required option.
    pub(crate) fn required(&self, name: &str) -> Result<String> {
        let missing = || usage_error("is missing").with_place(format!("--{name}"));
        self.value(name).ok_or_else(missing)
    }

    /// Returns the value of an option as a number.
    pub(crate) fn number<N>(&self, name: &str) -> Result<Option<N>>
    where
        N: FromStr<Err: Display>,
    {
        let Some(text) = self.value(name) else {
            return Ok(None);
        };
        let invalid = |error| {
            usage_error(format!("`{text}`: {error}"))
                .with_place(format!("--{name}"))
                .with_remedy("give a whole number")
        };
        text.parse().map(Some).map_err(invalid)
    }

    /// Returns the comma-separated addresses of a required option.
    pub(crate) fn addresses(&self, name: &str) -> Result<Vec<SocketAddr>> {
        let text = self.required(name)?;
        let argument = format!("--{name}");
        text.split(',')
            .map(|address| parse_address(&argument, address))
            .collect()
    }
}

/// Parses an IP address and port; `argument` names the argument in the error.
pub(crate) fn parse_address(argument: &str, text: &str) -> Result<SocketAddr> {
    let invalid = |_| {
        usage_error(format!("`{text}` is not an address"))
            .with_place(argument)
            .with_remedy("give an IP number and a port, such as 127.0.0.1:8080")
    };
    text.trim().parse().map_err(invalid)
}

fn program_help(program: &str, commands: &[&Command]) -> String {
    let mut text = format!("Usage: {program} COMMAND [arguments]\n\nCommands:\n");
    for command in commands {
        let (name, summary) = (command.name, command.summary);
        text.push_str(&format!("    {name:<COMMAND_NAME_WIDTH$} {summary}\n"));
    }
    text.push_str(&format!(
        "\nOptions:\n    -h, --help      print this text\n    -V, --version   print the \
         version\n\n`{program} COMMAND --help` describes a command.\n"
    ));
    text
}
