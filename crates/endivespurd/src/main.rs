//! The daemon of endivespur.

use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use clap::{Arg, ArgAction, ArgMatches, Command, crate_version, value_parser};
use endivespur_log::Backlog;
use endivespur_node::settings::{self, Finding, Settings};
use endivespur_node::{Error, start};
use log::{error, info};
use smol::LocalExecutor;
use smol::stream::StreamExt;

/// How long a process that ends waits for its last log lines to be taken.
const LAST_LINES: Duration = Duration::from_millis(200);
/// The exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("endivespurd")
        .version(crate_version!())
        .about("Serves LoRA adapters between callers and endpoints")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required_unless_present("platform")
                .help("The JSON settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the settings"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .action(ArgAction::SetTrue)
                .conflicts_with("settings")
                .help("Runs as a gateway with the settings that the platform provides"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .requires("platform")
                .help("Serves metrics at /metrics on this port of the VM's address"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let backlog = endivespur_log::start();
    let code = if matches.get_flag("platform") {
        backlog.release();
        let port = matches.get_one::<u16>("metrics-port").copied();
        run_gateway(matches.get_flag("check"), port)
    } else {
        run_daemon(&matches, &backlog)
    };
    backlog.release();
    backlog.wait(LAST_LINES);
    code
}

/// Runs on the settings of a file.
fn run_daemon(matches: &ArgMatches, backlog: &Backlog) -> ExitCode {
    let path = matches
        .get_one::<String>("settings")
        .map_or("", String::as_str);
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(findings) => return report(path, &findings),
    };
    if matches.get_flag("check") {
        println!("{path}: no findings");
        return ExitCode::SUCCESS;
    }
    end_on_panic();
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(run(executor, settings, path, backlog)))
}

/// Ends the process when a task panics, since the others would go on without it.
fn end_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        std::process::abort();
    }));
}

/// Runs on the platform, which names the settings file in the environment.
fn run_gateway(only_check: bool, metrics_port: Option<u16>) -> ExitCode {
    let settings = match endivespur_platform::settings::read() {
        Ok(settings) => settings,
        Err(failure) => {
            eprintln!("{failure}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if only_check {
        println!("no findings");
        return ExitCode::SUCCESS;
    }
    end_on_panic();
    let executor = Rc::new(LocalExecutor::new());
    let run = endivespur_gateway::run(executor.clone(), settings, metrics_port);
    match smol::block_on(executor.run(run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(event = "start"; "{failure}");
            ExitCode::FAILURE
        }
    }
}

fn read(path: &str) -> Result<Settings, Vec<Finding>> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        vec![Finding {
            place: "file".to_string(),
            message: error.to_string(),
        }]
    })?;
    settings::read(&text)
}

fn report(path: &str, findings: &[Finding]) -> ExitCode {
    for finding in findings {
        eprintln!("{path}: {finding}");
    }
    eprintln!("{path}: {} findings", findings.len());
    ExitCode::from(EXIT_SETTINGS)
}

async fn run(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
    path: &str,
    backlog: &Backlog,
) -> ExitCode {
    let running = match start(executor, settings).await {
        Ok(running) => running,
        Err(Error::Settings { findings }) => return report(path, &findings),
        Err(failure) => {
            error!(event = "start"; "{failure}");
            return ExitCode::FAILURE;
        }
    };
    let addresses = serde_json::to_string(&running.addresses).unwrap_or_default();
    println!("{addresses}");
    std::io::stdout().flush().ok();
    backlog.release();
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(failure) => {
            error!(event = "start"; "no signals: {failure}");
            return ExitCode::FAILURE;
        }
    };
    signals.next().await;
    let cut = running.stop().await;
    info!(event = "stopped", open = cut; "stopped");
    if cut == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
