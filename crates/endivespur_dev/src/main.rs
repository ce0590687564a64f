//! Runs a maintenance task: an emulator, the demo, or a measurement.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use endivespur_dev::emulator::{self, engine};
use endivespur_dev::{bench, demo, measure, process, scale};
use endivespur_stand::soak;
use smol::LocalExecutor;

fn option(name: &'static str) -> Arg {
    Arg::new(name).long(name)
}

fn number(name: &'static str, default: &'static str) -> Arg {
    option(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn emulator_command() -> Command {
    let listen = || option("listen").default_value("127.0.0.1:0");
    Command::new("stand")
        .about("Runs an emulator of an external system")
        .subcommand_required(true)
        .subcommand(Command::new("store").arg(listen()))
        .subcommand(Command::new("weights").arg(listen()))
        .subcommand(
            Command::new("vms")
                .arg(listen())
                .arg(number("lag-ms", "500")),
        )
        .subcommand(Command::new("plain").arg(listen()))
        .subcommand(
            Command::new("relay")
                .arg(listen())
                .arg(option("to").required(true)),
        )
        .subcommand(
            Command::new("engine")
                .arg(listen())
                .arg(option("base").default_value("hymnal"))
                .arg(number("slots", "8"))
                .arg(number("batch", "8"))
                .arg(number("step-ms", "10"))
                .arg(option("weights"))
                .arg(Arg::new("fenced").long("fenced").action(ArgAction::SetTrue)),
        )
}

fn command() -> Command {
    Command::new("endivespur_dev")
        .about("Maintenance tasks of endivespur")
        .subcommand_required(true)
        .subcommand(emulator_command())
        .subcommand(bench_command())
        .subcommand(soak_command())
        .subcommand(Command::new("measure").about("Measures daemons as separate processes"))
        .subcommand(Command::new("scale").about("Measures the core's decisions at the target size"))
        .subcommand(
            Command::new("demo")
                .about("Shows requests through a small site of separate processes")
                .arg(
                    Arg::new("keep")
                        .long("keep")
                        .action(ArgAction::SetTrue)
                        .help(
                            "Keeps the processes running until a line is read from standard input",
                        ),
                ),
        )
}

fn soak_command() -> Command {
    Command::new("soak")
        .about("Injects random faults into gateways and checks what callers and engines observe")
        .arg(number("seed", "1").help("The first seed; each run reports its own"))
        .arg(number("runs", "1").help("The number of seeds to run, one after the other"))
        .arg(number("rounds", "4").help("The number of rounds of overlapping faults in a run"))
        .arg(number("gateways", "4").help("The number of gateways, each a process"))
        .arg(
            Arg::new("teams")
                .long("teams")
                .action(ArgAction::SetTrue)
                .help("Uses a configuration with teams, whose keys change"),
        )
        .arg(
            option("folder")
                .help("The folder for logs, by default a new one in the temporary folder"),
        )
        .arg(
            option("earlier")
                .help("The daemon of an earlier release, which every second gateway runs"),
        )
}

fn soak(matches: &ArgMatches) -> Result<(), String> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let program = process::build()?.join("endivespurd");
    let base = matches.get_one::<String>("folder").map_or_else(
        || std::env::temp_dir().join(format!("endivespur-soak-{}", std::process::id())),
        PathBuf::from,
    );
    let mut failed = Vec::new();
    for seed in number("seed")..number("seed") + number("runs") {
        let options = soak::Options {
            program: program.clone(),
            earlier_program: matches.get_one::<String>("earlier").map(PathBuf::from),
            folder: base.join(seed.to_string()),
            seed,
            has_teams: matches.get_flag("teams"),
            rounds: number("rounds") as usize,
            gateways: number("gateways") as usize,
            is_verbose: true,
        };
        match soak::run(&options) {
            Ok(requests) => println!("seed {seed}: {requests} requests, no invariant violated"),
            Err(message) => {
                println!("{message}");
                failed.push(seed);
            }
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(format!("seeds with a violated invariant: {failed:?}"))
}

fn bench_command() -> Command {
    Command::new("bench")
        .about("Compares the scheduling policy with two others in virtual time")
        .arg(option("users").default_value("association"))
        .arg(option("policy").value_parser(bench::POLICIES))
        .arg(
            option("seed")
                .value_parser(value_parser!(u64))
                .action(ArgAction::Append)
                .default_value("1"),
        )
        .arg(option("slots").value_parser(value_parser!(u64)))
        .arg(option("json"))
}

fn bench_plan(matches: &ArgMatches) -> bench::Plan {
    let option = |name: &str| matches.get_one::<String>(name).cloned();
    bench::Plan {
        profile: option("users").unwrap_or_default(),
        policy: option("policy"),
        seeds: matches
            .get_many::<u64>("seed")
            .unwrap_or_default()
            .copied()
            .collect(),
        json: option("json"),
        slots: matches.get_one::<u64>("slots").map(|slots| *slots as usize),
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("stand", matches)) => run_emulator(matches).map_err(|error| error.to_string()),
        Some(("bench", matches)) => bench::run(&bench_plan(matches)),
        Some(("soak", matches)) => soak(matches),
        Some(("measure", _)) => measure::run(),
        Some(("scale", _)) => {
            scale::run();
            Ok(())
        }
        Some(("demo", matches)) => demo::run(matches.get_flag("keep")),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run_emulator(matches: &ArgMatches) -> std::io::Result<()> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let executor = Rc::new(LocalExecutor::new());
    let listen = matches
        .get_one::<String>("listen")
        .cloned()
        .unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    smol::block_on(executor.clone().run(async {
        match name {
            "store" => emulator::store::run(executor.clone(), &listen).await,
            "weights" => emulator::weights::run(executor.clone(), &listen).await,
            "vms" => emulator::vms::run(executor.clone(), &listen, number("lag-ms")).await,
            "plain" => emulator::plain::run(executor.clone(), &listen).await,
            "relay" => {
                let target = matches.get_one::<String>("to").cloned().unwrap_or_default();
                emulator::relay::run(executor.clone(), &target).await
            }
            _ => {
                let options = engine::Options {
                    base: matches
                        .get_one::<String>("base")
                        .cloned()
                        .unwrap_or_default(),
                    slots: number("slots") as usize,
                    batch: number("batch") as usize,
                    step_ms: number("step-ms"),
                    weights: matches.get_one::<String>("weights").cloned(),
                    fenced: matches.get_flag("fenced"),
                };
                engine::run(executor.clone(), &listen, options).await
            }
        }
    }))
}
