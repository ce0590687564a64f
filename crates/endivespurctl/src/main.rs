//! The operators' command-line tool of endivespur.

mod arguments;
mod call;
mod show;
mod trace;

use std::io::{IsTerminal, Read};
use std::path::Path;
use std::process::ExitCode;

use arguments::Output;
use call::{Client, Failure};
use clap::ArgMatches;

/// The call failed, or no daemon answered.
const EXIT_FAILED: u8 = 1;
/// A statement holds a mistake.
const EXIT_MISTAKE: u8 = 2;
/// A command was refused or lost against another one.
const EXIT_REFUSED: u8 = 3;
/// A change is accepted but not yet in force everywhere.
const EXIT_NOT_IN_FORCE: u8 = 4;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    if let Some(done) = arguments::generate(&matches) {
        return done;
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
    let answer = client.send(&text).map_err(|failure| match failure {
        Failure::Mistakes(lines) => (EXIT_MISTAKE, lines.join("\n")),
        Failure::Other(message) => (EXIT_FAILED, message),
    })?;
    let bold = std::io::stdout().is_terminal();
    match arguments::output(matches) {
        Output::Json => println!("{answer}"),
        Output::Table => show::results(&answer, bold),
    }
    if show::is_refused(&answer) {
        return Err((EXIT_REFUSED, String::new()));
    }
    if matches.get_flag("wait") {
        let reached = client.wait(&answer).map_err(failed)?;
        println!("in force on {reached}");
        if !reached.is_everywhere() {
            return Err((EXIT_NOT_IN_FORCE, "not in force everywhere yet".to_string()));
        }
    }
    Ok(())
}

/// Prints what the logs tell of a request.
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
        eprintln!("{} line(s) are no log lines", log.unreadable);
    }
    let lines = log.trace(request);
    if lines.is_empty() {
        return Err(format!("no line names the request {request}"));
    }
    match output {
        Output::Json => trace::print_json(&lines),
        Output::Table => trace::print(&lines, request),
    }
    Ok(())
}

/// Returns the statements from the arguments, a file, or standard input.
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

/// Quotes a word that the shell has passed with spaces inside.
fn quote(word: &str) -> String {
    if word.contains(char::is_whitespace) && !word.contains('"') && word.split(' ').count() > 1 {
        let is_statement = [
            "show ", "explain ", "report ", "create ", "add ", "place ", "pin ",
        ]
        .iter()
        .chain(&["unpin ", "retire ", "drain ", "undrain "])
        .any(|verb| word.starts_with(verb));
        if !is_statement {
            return format!("\"{word}\"");
        }
    }
    word.to_string()
}
