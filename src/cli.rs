//! Command lines, and what the programs print.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::process;
use std::str::FromStr;

use errors::{Error, ExitCode, Result};
use getopts::{Matches, Options};

/// Width of the names of commands in the help text.
const NAME_WIDTH: usize = 10;

/// A program of the workspace.
#[derive(Debug)]
pub struct Program {
    /// Name of the binary.
    pub(crate) name: &'static str,
    /// Takes the arguments after the name of the binary.
    pub(crate) run: fn(&[String]) -> Result<ExitCode>,
}

/// A command of a program.
#[derive(Debug)]
pub(crate) struct Command {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// What it does, in one line.
    pub(crate) summary: &'static str,
    /// Takes the arguments after the name of the command.
    pub(crate) run: fn(&[String]) -> Result<ExitCode>,
}

/// The form of a command line.
pub(crate) struct Usage {
    command: &'static str,
    positional: &'static [&'static str],
    summary: &'static str,
    options: Options,
}

/// The arguments of a command.
#[derive(Debug)]
pub(crate) struct Arguments {
    matches: Matches,
}

/// Runs a program with the arguments of the process and reports its error, if any.
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

/// Runs the command that the first argument names.
pub(crate) fn run_command(
    program: &str,
    commands: &[&Command],
    args: &[String],
) -> Result<ExitCode> {
    let Some((name, args)) = args.split_first() else {
        print_error(&overview(program, commands));
        return Ok(ExitCode::Usage);
    };
    match name.as_str() {
        "-h" | "--help" => return print(&overview(program, commands)),
        "-V" | "--version" => return print(&version(program)),
        _ => {}
    }
    match commands.iter().find(|command| command.name == name) {
        Some(command) => (command.run)(args),
        None => Err(usage_error(format!("no command `{name}`"))
            .with_remedy(format!("`{program} --help` lists the commands"))),
    }
}

/// Returns the line that names a program's version.
pub(crate) fn version(program: &str) -> String {
    format!("{program} {}\n", env!("CARGO_PKG_VERSION"))
}

/// Prints to standard output; a reader that has gone away is no error.
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
    // There is nowhere left to report a failure to.
    let _ = io::stderr().lock().write_all(text.as_bytes());
}

/// Prints the result of a command to the output that its exit status calls for.
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
    /// Describes a command line; `command` begins with the name of the program.
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

    /// Parses the arguments; returns nothing if it printed the help text instead.
    ///
    /// # Errors
    ///
    /// Fails if an argument is unknown, missing or one too many.
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
        let mut brief = format!("Usage: {}", self.command);
        for name in self.positional {
            brief.push(' ');
            brief.push_str(name);
        }
        brief.push_str(" [options]\n\n");
        brief.push_str(self.summary);
        self.options.usage(&brief)
    }
}

impl Arguments {
    /// Returns an argument that is no option; the usage has made sure that it is there.
    pub(crate) fn positional(&self, index: usize) -> &str {
        &self.matches.free[index]
    }

    /// Tells whether a flag is set.
    pub(crate) fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns the text of an option.
    pub(crate) fn text(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Returns the text of an option that the usage requires.
    pub(crate) fn required(&self, name: &str) -> Result<String> {
        let missing = || usage_error("is missing").with_place(format!("--{name}"));
        self.text(name).ok_or_else(missing)
    }

    /// Returns the number of an option.
    pub(crate) fn number<N>(&self, name: &str) -> Result<Option<N>>
    where
        N: FromStr<Err: Display>,
    {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let invalid = |error| {
            usage_error(format!("`{text}`: {error}"))
                .with_place(format!("--{name}"))
                .with_remedy("give a whole number")
        };
        text.parse().map(Some).map_err(invalid)
    }

    /// Returns the addresses of a required option, which commas separate.
    pub(crate) fn addresses(&self, name: &str) -> Result<Vec<SocketAddr>> {
        let text = self.required(name)?;
        let place = format!("--{name}");
        text.split(',')
            .map(|address| parse_address(&place, address))
            .collect()
    }
}

/// Parses an IP number and a port.
pub(crate) fn parse_address(place: &str, text: &str) -> Result<SocketAddr> {
    let invalid = |_| {
        usage_error(format!("`{text}` is not an address"))
            .with_place(place)
            .with_remedy("give an IP number and a port, such as 127.0.0.1:8080")
    };
    text.trim().parse().map_err(invalid)
}

fn overview(program: &str, commands: &[&Command]) -> String {
    let mut text = format!("Usage: {program} COMMAND [arguments]\n\nCommands:\n");
    for command in commands {
        let (name, summary) = (command.name, command.summary);
        text.push_str(&format!("    {name:<NAME_WIDTH$} {summary}\n"));
    }
    text.push_str(&format!(
        "\nOptions:\n    -h, --help      print this text\n    -V, --version   print the \
         version\n\n`{program} COMMAND --help` describes a command.\n"
    ));
    text
}
