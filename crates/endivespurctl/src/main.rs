//! The command-line tool for operators of endivespur.

mod arguments;
mod call;
mod show;
mod trace;

use std::io::{IsTerminal, Read};
use std::path::Path;
use std::process::ExitCode;

use arguments::Output;
use call::{Client, Error};
use clap::ArgMatches;

/// The call failed, or no daemon answered.
const EXIT_FAILED: u8 = 1;
/// A statement has a syntax error.
const EXIT_INVALID: u8 = 2;
/// A command was refused, lost to a concurrent one, or has an unknown outcome.
const EXIT_REFUSED: u8 = 3;
/// A change was accepted, but was not in force everywhere when the wait ended.
const EXIT_NOT_IN_FORCE: u8 = 4;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    if let Some(exit_code) = arguments::generate(&matches) {
        return exit_code;
    }
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, message)) => {
            eprintln!("{message}");
            ExitCode::from(code)
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), (u8, String)> {
    let failed = |message: String| (EXIT_FAILED, message);
    if let Some(("trace", arguments)) = matches.subcommand() {
        return trace_request(arguments, arguments::output(matches)).map_err(failed);
    }
    let text = statements(matches).map_err(failed)?;
    let client = Client::new(matches).map_err(failed)?;
    let response = client.send(&text).map_err(|error| match error {
        Error::InvalidStatements(messages) => (EXIT_INVALID, messages.join("\n")),
        Error::Call(message) => (EXIT_FAILED, message),
    })?;
    let bold = std::io::stdout().is_terminal();
    match arguments::output(matches) {
        Output::Json => println!("{response}"),
        Output::Table => show::print_results(&response, bold),
    }
    if show::any_command_failed(&response) {
        return Err((EXIT_REFUSED, String::new()));
    }
    if matches.get_flag("wait") {
        let rollout = client.wait(&response).map_err(failed)?;
        println!("in force on {rollout}");
        if !rollout.is_complete() {
            return Err((EXIT_NOT_IN_FORCE, "not in force everywhere yet".to_string()));
        }
    }
    Ok(())
}

/// Prints the log lines that relate to a request.
fn trace_request(arguments: &ArgMatches, output: Output) -> Result<(), String> {
    let request = arguments
        .get_one::<String>("request")
        .map_or("", String::as_str);
    let paths: Vec<&String> = arguments.get_many("logs").unwrap_or_default().collect();
    let mut log = trace::Log::new();
    for path in &paths {
        let bytes = std::fs::read(path).map_err(|error| format!("{path}: {error}"))?;
        let name = Path::new(path).file_stem().unwrap_or_default();
        log.read(&name.to_string_lossy(), &String::from_utf8_lossy(&bytes));
    }
    if paths.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|error| error.to_string())?;
        log.read("input", &String::from_utf8_lossy(&bytes));
    }
    if log.unreadable > 0 {
        eprintln!("skipped {} line(s) that are not log lines", log.unreadable);
    }
    let lines = log.trace(request);
    if lines.is_empty() {
        return Err(format!("no log line mentions request {request}"));
    }
    match output {
        Output::Json => trace::print_json(&lines),
        Output::Table => trace::print(&lines, request),
    }
    Ok(())
}

/// Returns the statements from a file, the arguments, or standard input.
fn statements(matches: &ArgMatches) -> Result<String, String> {
    if let Some(path) = matches.get_one::<String>("file") {
        return std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"));
    }
    let words: Vec<&String> = matches.get_many("statement").unwrap_or_default().collect();
    if !words.is_empty() {
        return Ok(words
            .into_iter()
            .map(|word| quote(word))
            .collect::<Vec<_>>()
            .join(" "));
    }
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.map_err(|error| error.to_string())?;
    Ok(text)
}

/// Quotes an argument that contains spaces, unless it contains quotes or is a whole statement.
///
/// The shell has removed the quotes around texts such as `REASON`, and the parser needs them.
fn quote(word: &str) -> String {
    if word.contains(char::is_whitespace) && !word.contains('"') && word.split(' ').count() > 1 {
        let is_statement = [
            "show ", "explain ", "report ", "create ", "add ", "place ", "pin ",
        ]
        .iter()
        .chain(&[
            "unpin ", "retire ", "drain ", "undrain ", "limit ", "unlimit ",
        ])
        .any(|verb| word.starts_with(verb));
        if !is_statement {
            return format!("\"{word}\"");
        }
    }
    word.to_string()
}
