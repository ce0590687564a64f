//! Parser of scenario files, which reports the errors of all lines at once.

use std::time::Duration;

use endivespur_core::line::{Line, Parsed};

use crate::{
    Action, Adapter, EndpointFault, Engine, ExpectStatement, Expectation, Finding, Operation, Part,
    Request, Scenario, Step, StoreFault,
};

/// Parses a scenario.
///
/// # Errors
///
/// Returns the first error of each faulty line with its line and column.
pub fn parse(text: &str) -> Result<Scenario, Vec<Finding>> {
    let mut scenario = Scenario::default();
    let mut findings = Vec::new();
    for (index, text) in text.lines().enumerate() {
        let mut line = Line::new(index + 1, text);
        if line.is_done() {
            continue;
        }
        let result = parse_line(&mut line, &mut scenario).and_then(|()| line.end());
        findings.extend(result.err());
    }
    if findings.is_empty() {
        Ok(scenario)
    } else {
        Err(findings)
    }
}

fn parse_line(line: &mut Line, scenario: &mut Scenario) -> Parsed<()> {
    let statements = ["seed", "vm", "engine", "plain", "adapter", "at", "expect"];
    match line.keyword(&statements)?.as_str() {
        "seed" => scenario.seed = line.number_word()?,
        "vm" => {
            let (name, zone) = name_and_zone(line)?;
            scenario.parts.push(Part::Vm(name, zone));
        }
        "plain" => {
            let (name, zone) = name_and_zone(line)?;
            scenario.parts.push(Part::Plain(name, zone));
        }
        "engine" => scenario.parts.push(Part::Engine(engine(line)?)),
        "adapter" => scenario.parts.push(Part::Adapter(adapter(line)?)),
        "at" => {
            let at = line.time()?;
            let action = action(line)?;
            scenario.steps.push(Step {
                at,
                line: line.number(),
                action,
            });
        }
        _ => {
            let expectation = expectation(line)?;
            scenario.expectations.push(ExpectStatement {
                line: line.number(),
                expectation,
            });
        }
    }
    Ok(())
}

fn name_and_zone(line: &mut Line) -> Parsed<(String, String)> {
    let name = line.word("a name")?;
    line.keyword(&["in"])?;
    Ok((name, line.word("a zone")?))
}

fn engine(line: &mut Line) -> Parsed<Engine> {
    let (name, zone) = name_and_zone(line)?;
    let mut engine = Engine {
        name,
        zone,
        slots: 2,
        batch: 4,
        step: Duration::from_millis(10),
        fenced: true,
    };
    while !line.is_done() {
        match line
            .keyword(&["slots", "batch", "step", "unfenced"])?
            .as_str()
        {
            "slots" => engine.slots = line.number_word()?,
            "batch" => engine.batch = line.number_word()?,
            "step" => engine.step = line.time()?,
            _ => engine.fenced = false,
        }
    }
    Ok(engine)
}

fn adapter(line: &mut Line) -> Parsed<Adapter> {
    let name = line.word("a name")?;
    let zones = if line.skip("zones") {
        line.list("zones")?
    } else {
        Vec::new()
    };
    Ok(Adapter { name, zones })
}

fn action(line: &mut Line) -> Parsed<Action> {
    let verbs = [
        "request", "order", "start", "kill", "pause", "resume", "stop", "store", "endpoint",
        "drain", "leaving", "retire", "cut", "heal",
    ];
    let verb = line.keyword(&verbs)?;
    let vm_operation = |operation, line: &mut Line| Ok(Action::Vm(operation, line.word("a vm")?));
    match verb.as_str() {
        "request" => Ok(Action::Request(request(line, true)?)),
        "order" => Ok(Action::Request(request(line, false)?)),
        "start" => vm_operation(Operation::Start, line),
        "kill" => vm_operation(Operation::Kill, line),
        "pause" => vm_operation(Operation::Pause, line),
        "resume" => vm_operation(Operation::Resume, line),
        "stop" => vm_operation(Operation::Stop, line),
        "store" => Ok(Action::Store(store_fault(line)?)),
        "endpoint" => {
            let name = line.word("an endpoint")?;
            Ok(Action::Endpoint(name, endpoint_fault(line)?))
        }
        "drain" => Ok(Action::Drain(line.word("an endpoint")?)),
        "cut" | "heal" => Ok(Action::Partition(line.word("a vm")?, verb == "cut")),
        "leaving" => Ok(Action::Leaving(line.word("an endpoint")?)),
        _ => Ok(Action::Retire(line.word("ADAPTER@VERSION")?)),
    }
}

fn request(line: &mut Line, is_completion: bool) -> Parsed<Request> {
    let id = line.word("a name for the request")?;
    line.keyword(&["through"])?;
    let mut request = Request {
        id,
        vm: line.word("a vm")?,
        model: None,
        tokens: 8,
        prompt: "draft".to_string(),
        first_message: None,
        key: None,
        disconnects: false,
    };
    if is_completion {
        line.keyword(&["model"])?;
        request.model = Some(line.word("ADAPTER@VERSION")?);
    } else {
        line.keyword(&["key"])?;
        request.key = Some(line.word("an idempotency key")?);
    }
    while !line.is_done() {
        match line
            .keyword(&["tokens", "prompt", "after", "key", "leaves"])?
            .as_str()
        {
            "tokens" => request.tokens = line.number_word()?,
            "prompt" => request.prompt = line.word("a prompt")?,
            "after" => request.first_message = Some(line.word("a message")?),
            "key" => request.key = Some(line.word("an idempotency key")?),
            _ => request.disconnects = true,
        }
    }
    Ok(request)
}

fn store_fault(line: &mut Line) -> Parsed<StoreFault> {
    let kinds = ["down", "up", "lose-answers", "silent-watches", "lapse"];
    Ok(match line.keyword(&kinds)?.as_str() {
        "down" => StoreFault::Down,
        "up" => StoreFault::Up,
        "lose-answers" => StoreFault::LoseResponses(line.number_word()?),
        "silent-watches" => StoreFault::SilentWatches,
        _ => StoreFault::ExpireLease(line.word("a vm")?),
    })
}

fn endpoint_fault(line: &mut Line) -> Parsed<EndpointFault> {
    let kinds = [
        "crash",
        "fail-loads",
        "cut-after",
        "cross",
        "crash-on",
        "lose-answers",
        "work",
    ];
    Ok(match line.keyword(&kinds)?.as_str() {
        "crash" => EndpointFault::Crash(line.time()?),
        "fail-loads" => EndpointFault::FailLoads(line.number_word()?),
        "cut-after" => EndpointFault::TruncateAfter(line.number_word()?),
        "cross" => EndpointFault::WrongAttemptId(line.number_word()?),
        "crash-on" => EndpointFault::CrashOn(line.word("a text")?),
        "lose-answers" => EndpointFault::LoseResponses(line.number_word()?),
        _ => EndpointFault::ProcessingTime(line.time()?),
    })
}

fn expectation(line: &mut Line) -> Parsed<Expectation> {
    let first = line.word("a request, runs, crashes, clean or owned")?;
    match first.as_str() {
        "runs" => Ok(Expectation::Runs(line.word("a key")?, line.number_word()?)),
        "crashes" => Ok(Expectation::Crashes(line.number_word()?)),
        "clean" => Ok(Expectation::Clean(line.word("a vm")?)),
        "owned" => Ok(Expectation::Owned),
        _ => request_expectation(line, first),
    }
}

fn request_expectation(line: &mut Line, id: String) -> Parsed<Expectation> {
    let kinds = ["ran", "not-run", "unknown", "replayed", "within", "one-of"];
    let kind = line.keyword(&kinds)?;
    match kind.as_str() {
        "replayed" => Ok(Expectation::Replayed(id)),
        "within" => Ok(Expectation::Within(id, line.time()?)),
        "one-of" => Ok(Expectation::Outcome {
            id,
            outcomes: line.list("outcomes")?,
            on: None,
        }),
        _ => {
            let on = if line.skip("on") {
                Some(line.word("an endpoint")?)
            } else {
                None
            };
            Ok(Expectation::Outcome {
                id,
                outcomes: vec![kind],
                on,
            })
        }
    }
}
