//! The daemon of endivespur: a node with settings from a file, or a gateway on the platform.

use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::thread::ThreadId;
use std::time::Duration;

use async_signal::{Signal, Signals};
use clap::{Arg, ArgAction, ArgMatches, Command, crate_version, value_parser};
use endivespur_core::gateway::hedge::MAX_SHARE;
use endivespur_log::Backlog;
use endivespur_node::settings::{self, Finding, Settings};
use endivespur_node::{Error, start};
use log::{error, info};
use smol::LocalExecutor;
use smol::stream::StreamExt;

/// How long the process waits at its end until the queued log lines are written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The exit code for invalid or unreadable settings.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("endivespurd")
        .version(crate_version!())
        .about("Routes requests for LoRA adapters from callers to endpoints")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required_unless_present("platform")
                .help("The JSON file with the settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
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
        .arg(
            Arg::new("hedge-share")
                .long("hedge-share")
                .value_name("SHARE")
                .value_parser(parse_hedge_share)
                .requires("platform")
                .help("Permits this share of extra requests, 0 to 0.2, to hedge slow ones; 0 if absent"),
        )
}

fn parse_hedge_share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| "no number".to_string())?;
    if (0.0..=MAX_SHARE).contains(&share) {
        Ok(share)
    } else {
        Err(format!("must be from 0 to {MAX_SHARE}"))
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let backlog = endivespur_log::start();
    let code = if matches.get_flag("platform") {
        backlog.release();
        let port = matches.get_one::<u16>("metrics-port").copied();
        let hedge_share = matches.get_one::<f64>("hedge-share").copied();
        let hedge_share = hedge_share.unwrap_or_default();
        run_gateway(matches.get_flag("check"), port, hedge_share)
    } else {
        run_daemon(&matches, &backlog)
    };
    backlog.release();
    backlog.wait(LOG_FLUSH_TIMEOUT);
    code
}

/// Runs the daemon with the settings from a file.
fn run_daemon(matches: &ArgMatches, backlog: &Backlog) -> ExitCode {
    let path = matches
        .get_one::<String>("settings")
        .map_or("", String::as_str);
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(path, &findings),
    };
    if matches.get_flag("check") {
        println!("{path}: no findings");
        return ExitCode::SUCCESS;
    }
    abort_on_panic(None);
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(
        executor
            .clone()
            .run(serve(executor, settings, path, backlog)),
    )
}

/// Aborts the process when a thread panics, because the other tasks would continue without it. The tasks of the thread
/// `supervised` are stopped by the gateway instead.
fn abort_on_panic(supervised: Option<ThreadId>) {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        if supervised != Some(std::thread::current().id()) {
            std::process::abort();
        }
    }));
}

/// Runs a gateway on the platform, which passes the path of the settings file in the environment.
fn run_gateway(check_only: bool, metrics_port: Option<u16>, hedge_share: f64) -> ExitCode {
    let mut settings = match endivespur_platform::settings::read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check_only {
        println!("no findings");
        return ExitCode::SUCCESS;
    }
    settings.hedge_share = hedge_share;
    abort_on_panic(Some(std::thread::current().id()));
    let executor = Rc::new(LocalExecutor::new());
    let gateway = endivespur_gateway::run(executor.clone(), settings, metrics_port);
    match smol::block_on(executor.run(gateway)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(endivespur_gateway::Error::Panicked) => ExitCode::FAILURE,
        Err(error) => {
            error!(event = "start"; "{error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &str) -> Result<Settings, Vec<Finding>> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        vec![Finding {
            place: "file".to_string(),
            message: error.to_string(),
        }]
    })?;
    settings::read(&text)
}

fn report_findings(path: &str, findings: &[Finding]) -> ExitCode {
    for finding in findings {
        eprintln!("{path}: {finding}");
    }
    eprintln!("{path}: {} findings", findings.len());
    ExitCode::from(EXIT_SETTINGS)
}

/// Starts the node, prints its addresses and serves until SIGTERM or SIGINT.
///
/// Returns a failure if requests were still in flight when the time limit for stopping had passed.
async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
    path: &str,
    backlog: &Backlog,
) -> ExitCode {
    let running = match start(executor, settings).await {
        Ok(running) => running,
        Err(Error::Settings { findings }) => return report_findings(path, &findings),
        Err(error) => {
            error!(event = "start"; "{error}");
            return ExitCode::FAILURE;
        }
    };
    let addresses = serde_json::to_string(&running.addresses).unwrap_or_default();
    println!("{addresses}");
    std::io::stdout().flush().ok();
    backlog.release();
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(error) => {
            error!(event = "start"; "cannot install the signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    signals.next().await;
    let unfinished = running.stop().await;
    info!(event = "stopped", open = unfinished; "stopped");
    if unfinished == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
