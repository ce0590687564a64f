//! The tool's arguments, and what is generated from them.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, crate_version, value_parser};
use clap_complete::Shell;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

const AFTER: &str = "\
Statements:
  show KIND [where COLUMN OP VALUE [and ...]] [order by COLUMN [desc]] [limit N]
      KIND: adapters versions endpoints nodes organisations services rules slots loads suspects
      OP:   = != < > contains
  explain ADAPTER@VERSION for ORGANISATION
  report burn
  create adapter NAME base BASE service SERVICE for ORGANISATION[,...] in REGION[/ZONE,...]
  create organisation NAME in REGION[/ZONE,...] [weight N]
  add version ADAPTER@VERSION
  place adapter|organisation NAME in REGION[/ZONE,...]
  pin|unpin ADAPTER on ENDPOINT
  retire ADAPTER@VERSION
  drain|undrain ENDPOINT
  Each command may end with: if revision N, because \"REASON\"

Logs of gateways on the platform:
  trace REQUEST [LOG ...]

Exit codes:
  0  done
  1  no daemon answered, or the call failed
  2  a statement holds a mistake
  3  a command was refused, or lost against another one
  4  accepted, but not in force everywhere within the time of --wait";

/// Returns the tool's arguments.
pub fn command() -> Command {
    let text = |name: &'static str| Arg::new(name).long(name);
    let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
    Command::new("endivespurctl")
        .version(crate_version!())
        .about("Asks what runs where and why, and places, pins, retires or drains")
        .after_help(AFTER)
        .arg(
            text("address")
                .env("ENDIVESPUR_ADDRESS")
                .default_value("127.0.0.1:9090")
                .help("The operators' address of any daemon"),
        )
        .arg(text("token-env").help("The environment variable that holds the operators' token"))
        .arg(text("token-file").help("The file that holds the operators' token"))
        .arg(
            text("author")
                .env("USER")
                .default_value("operator")
                .help("Kept with each change"),
        )
        .arg(
            text("output")
                .value_parser(["table", "json"])
                .default_value("table")
                .help("How results are printed"),
        )
        .arg(flag("dry-run").help("Shows what commands would change"))
        .arg(flag("wait").help("Returns when the changes are in force on each node"))
        .arg(text("file").help("Reads statements from a file, one a line"))
        .arg(
            text("completions")
                .value_parser(value_parser!(Shell))
                .help("Prints the completions for a shell"),
        )
        .arg(flag("manual").help("Prints the manual page"))
        .subcommand(trace_command())
        .arg(
            Arg::new("statement")
                .num_args(0..)
                .trailing_var_arg(true)
                .help("One statement; without it statements are read from standard input"),
        )
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Tells from the logs of gateways what happened to a request, and around it")
        .arg(Arg::new("request").required(true).help("The request's id"))
        .arg(
            Arg::new("logs")
                .num_args(0..)
                .help("The gateways' logs; without any, standard input"),
        )
}

/// Returns how results are printed.
pub fn output(matches: &ArgMatches) -> Output {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Output::Json,
        _ => Output::Table,
    }
}

/// Prints completions or the manual page, if they are asked for.
pub fn generate(matches: &ArgMatches) -> Option<ExitCode> {
    if let Some(shell) = matches.get_one::<Shell>("completions") {
        let mut tool = command();
        clap_complete::generate(*shell, &mut tool, "endivespurctl", &mut std::io::stdout());
        return Some(ExitCode::SUCCESS);
    }
    if matches.get_flag("manual") {
        let page = clap_mangen::Man::new(command());
        return Some(match page.render(&mut std::io::stdout()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        });
    }
    None
}
