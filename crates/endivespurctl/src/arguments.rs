//! The command-line arguments, and the shell completions and manual page generated from them.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, crate_version, value_parser};
use clap_complete::Shell;

/// The format in which results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Aligned text for a terminal.
    Table,
    /// JSON for programs.
    Json,
}

const AFTER_HELP: &str = "\
Statements:
  show KIND [where COLUMN OP VALUE [and ...]] [order by COLUMN [desc]] [limit N]
      KIND: adapters versions endpoints nodes organisations services rules slots loads suspects
      OP:   = != < > contains
  explain ADAPTER@VERSION for ORGANISATION
  report burn
  create adapter NAME base BASE service SERVICE for ORGANISATION[,...] in REGION[/ZONE,...]
  create organisation NAME in REGION[/ZONE,...] [weight N] [quota QUOTA]
  limit organisation NAME quota QUOTA
  unlimit organisation NAME
      QUOTA: RATE per second burst N in requests|tokens [plain N]
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
  2  a statement has a syntax error
  3  a command was refused, lost to a concurrent one, or has an unknown outcome
  4  accepted, but not in force everywhere when --wait timed out";

/// Returns the definition of the command line.
pub fn command() -> Command {
    let text = |name: &'static str| Arg::new(name).long(name);
    let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
    Command::new("endivespurctl")
        .version(crate_version!())
        .about("Shows where adapters are served and why, and changes their placement")
        .after_help(AFTER_HELP)
        .arg(
            text("address")
                .env("ENDIVESPUR_ADDRESS")
                .default_value("127.0.0.1:9090")
                .help("The operators' address of any daemon"),
        )
        .arg(text("token-env").help("The environment variable that contains the operators' token"))
        .arg(text("token-file").help("The file that contains the operators' token"))
        .arg(
            text("author")
                .env("USER")
                .default_value("operator")
                .help("The name recorded with each change"),
        )
        .arg(
            text("output")
                .value_parser(["table", "json"])
                .default_value("table")
                .help("The format of the results"),
        )
        .arg(flag("dry-run").help("Shows what commands would change, without applying them"))
        .arg(flag("wait").help("Waits until the changes are in force on each node"))
        .arg(text("file").help("Reads statements from a file, one per line"))
        .arg(
            text("completions")
                .value_parser(value_parser!(Shell))
                .help("Prints the completion script for a shell"),
        )
        .arg(flag("manual").help("Prints the manual page"))
        .subcommand(trace_command())
        .arg(
            Arg::new("statement")
                .num_args(0..)
                .trailing_var_arg(true)
                .help("A statement; without one, statements are read from standard input"),
        )
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Prints the log lines of a request, and the events of its gateways and endpoints")
        .arg(Arg::new("request").required(true).help("The request's id"))
        .arg(
            Arg::new("logs")
                .num_args(0..)
                .help("The log files of gateways; without any, standard input is read"),
        )
}

/// Returns the format in which results are printed.
pub fn output(matches: &ArgMatches) -> Output {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Output::Json,
        _ => Output::Table,
    }
}

/// Prints the completions or the manual page and returns the exit code, if either is requested.
pub fn generate(matches: &ArgMatches) -> Option<ExitCode> {
    if let Some(shell) = matches.get_one::<Shell>("completions") {
        let mut command = command();
        clap_complete::generate(
            *shell,
            &mut command,
            "endivespurctl",
            &mut std::io::stdout(),
        );
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
