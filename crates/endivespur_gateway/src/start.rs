//! Starts the gateway's tasks, and stops the gateway on SIGTERM or SIGINT.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use endivespur_clock as clock;
use endivespur_platform::settings::{self, Settings};
use log::{error, info};
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::stream::StreamExt;
use smol::{LocalExecutor, Timer};
use snafu::{ResultExt, Snafu};

use crate::state::State;
use crate::task::Tasks;
use crate::{
    exposition, fetch, follow, forward, marker, member, origins, owner, quota, readiness, record,
    rpc, serve, software, source, stream, telemetry, timer,
};

/// How long requests are still accepted after the VM stopped being ready: the platform polls once a
/// second and reacts after two failures.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(2900);
/// The part of the grace period after which all requests have been answered: the process is killed at its end.
const GRACE_RESERVE: Duration = Duration::from_millis(700);
/// The part of that reserve in which the last responses are written.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// The reason why the gateway did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A task panicked, and the gateway stopped.
    #[snafu(display("a task panicked"))]
    Panicked,
    /// Signals cannot be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Runs the gateway until it is asked to stop; metrics are served if a port is given.
///
/// # Errors
///
/// Returns an [`Error`] if it cannot start, or has stopped since a task panicked.
pub async fn run(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
    metrics_port: Option<u16>,
) -> Result<(), Error> {
    run_until(executor, settings, metrics_port, smol::future::pending()).await
}

/// As [`run`], until `stop` is ready too.
///
/// # Errors
///
/// Returns an [`Error`] if it cannot start, or has stopped since a task panicked.
pub async fn run_until(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
    metrics_port: Option<u16>,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).context(SignalsSnafu)?;
    let process = format!("{}#{}", settings.vm, clock::now().as_nanos());
    let callers = listen(settings.caller_address).await?;
    let peers = listen(settings.peer_address).await?;
    let forwards = match settings.forward_address {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let probes = listen(settings.readiness_address).await?;
    info!(
        event = "start", vm = settings.vm.as_str(), process = process.as_str(),
        first = settings.is_first_start; "started"
    );
    let tasks = Tasks::new(executor);
    let state = Rc::new(State::new(
        settings,
        process,
        tasks.clone(),
        &source::POLLED_PREFIXES,
    ));
    // Without a port nothing reads the recorder, and its histograms would grow without limit.
    if let Some(port) = metrics_port
        && let Some(handle) = telemetry::install()
    {
        let address = SocketAddr::new(state.settings.caller_address.ip(), port);
        state.spawn(exposition::serve(state.clone(), address, handle));
    }
    follow::start(&state);
    fetch::start(&state);
    member::start(&state);
    owner::start(&state);
    record::start(&state);
    stream::start(&state);
    software::start(&state);
    origins::start(&state);
    quota::start(&state);
    marker::start(&state);
    state.spawn(rpc::serve(state.clone(), peers));
    if let Some(forwards) = forwards {
        state.spawn(forward::serve(state.clone(), forwards));
    }
    state.spawn(readiness::serve(state.clone(), probes));
    state.spawn(serve::listen(state.clone(), callers));
    let signalled = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(&state),
                Ok(_) => break,
                Err(failure) => error!(event = "signal"; "{failure}"),
            }
        }
    };
    let asked = async {
        signalled.or(stop).await;
        Ok(())
    };
    // The requests in flight are answered; engines get no more orders from state that may be half changed.
    let panicked = async {
        tasks.panicked().await;
        PanickedSnafu.fail()
    };
    let result = asked.or(panicked).await;
    drain(&state).await;
    result
}

/// Applies the limits of the changed settings; the others take effect at the next start.
fn reload(state: &State) {
    match settings::read() {
        Ok(settings) => {
            state.budget.reload(&settings);
            if let Some(table) = state.catalog.borrow().table() {
                state.budget.check_body_limit(table.limits.body_bytes);
            }
            info!(event = "reload"; "limits are applied; other settings take effect at the next start");
        }
        Err(failure) => error!(event = "reload"; "{failure}"),
    }
}

/// Hands the engines over to other VMs, and waits for the requests in flight.
async fn drain(state: &Rc<State>) {
    let started = clock::now();
    let stop_at = started + state.settings.grace_period.saturating_sub(GRACE_RESERVE);
    info!(event = "stop", open = state.open_requests.get(); "stopping");
    state.is_stopping.set(true);
    state.stop_at.set(Some(stop_at));
    state.stopping.notify(usize::MAX);
    state.notify();
    let close_at = stop_at.min(started + DEREGISTRATION_TIME);
    timer::within(
        close_at.saturating_sub(started),
        member::revoke_lease(state),
    )
    .await;
    Timer::after(close_at.saturating_sub(clock::now())).await;
    state.is_closing.set(true);
    state.closing.notify(usize::MAX);
    loop {
        Timer::after(Duration::from_millis(50)).await;
        if clock::now() >= stop_at + ANSWER_TIME || state.open_requests.get() == 0 {
            break;
        }
    }
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    let open = state.open_requests.get();
    info!(event = "stopped", open, took_ms; "stopped");
}
