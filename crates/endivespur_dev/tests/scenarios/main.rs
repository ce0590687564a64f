//! Runs each scenario under `resources/scenarios` with real processes on loopback.

mod judge;
mod switch;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use endivespur_dev::call::Response;
use endivespur_dev::emulator::unix_ms;
use endivespur_dev::site::{EndpointSpec, REGION, Site};
use endivespur_scenario::{Action, Adapter, Operation, Part, Request, Scenario, parse};
use libtest_mimic::{Arguments, Failed, Trial};
use serde_json::{Value, json};

/// The maximum time until each endpoint has an owner.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of scenarios run in parallel; each starts up to a dozen processes.
const PARALLEL_SCENARIOS: usize = 4;
/// The organisation of all calls.
const ORGANISATION: &str = "kilimani";

type Responses = Arc<Mutex<BTreeMap<String, Response>>>;

fn main() {
    let mut arguments = Arguments::from_args();
    arguments.test_threads.get_or_insert(PARALLEL_SCENARIOS);
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("resources/scenarios");
    let mut trials: Vec<Trial> = std::fs::read_dir(folder)
        .into_iter()
        .flatten()
        .flatten()
        .map(|file| file.path())
        .filter_map(|path| {
            let name = path.file_stem()?.to_str()?.to_string();
            let text = std::fs::read_to_string(&path).ok()?;
            Some(Trial::test(name.clone(), move || {
                run_scenario(&name, &text)
            }))
        })
        .collect();
    trials.sort_by(|a, b| a.name().cmp(b.name()));
    libtest_mimic::run(&arguments, trials).exit();
}

fn run_scenario(name: &str, text: &str) -> Result<(), Failed> {
    let scenario = parse(text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;
    let mut harness = Harness::start(name, &scenario)?;
    harness.run_steps(&scenario)?;
    let mut violations = harness.check(&scenario);
    if violations.is_empty() {
        return Ok(());
    }
    violations.push(harness.logs());
    Err(violations.join("\n").into())
}

/// A running site with the requests sent and the state that the checks need.
struct Harness {
    site: Site,
    zones: BTreeMap<String, String>,
    requests: BTreeMap<String, Request>,
    callers: Vec<JoinHandle<()>>,
    responses: Responses,
    /// When each endpoint was drained or listed as leaving, in milliseconds since the Unix epoch.
    leaving_since_ms: BTreeMap<String, u64>,
    exited_cleanly: BTreeMap<String, bool>,
    stopping: BTreeMap<String, endivespur_dev::site::Daemon>,
    /// The VMs to which `owner(ENDPOINT)` and `other(ENDPOINT)` resolved when first used.
    aliases: BTreeMap<String, String>,
}

impl Harness {
    fn start(name: &str, scenario: &Scenario) -> Result<Self, String> {
        let mut vms = BTreeMap::new();
        let mut zones = BTreeMap::new();
        let mut specs = Vec::new();
        for part in &scenario.parts {
            match part {
                Part::Vm(name, zone) => {
                    vms.insert(name.clone(), zone.clone());
                }
                Part::Engine(engine) => specs.push(EndpointSpec {
                    name: engine.name.clone(),
                    zone: engine.zone.clone(),
                    service: "hymnal".to_string(),
                    slots: engine.slots,
                    batch: engine.batch,
                    step_ms: engine.step.as_millis() as u64,
                    fenced: engine.fenced,
                }),
                Part::Plain(name, zone) => specs.push(EndpointSpec::plain(name, zone, "orders")),
                Part::Adapter(_) => {}
            }
        }
        zones.extend(vms.clone());
        zones.extend(
            specs
                .iter()
                .map(|spec| (spec.name.clone(), spec.zone.clone())),
        );
        let all_zones: Vec<&str> = zones.values().map(String::as_str).collect();
        let mut site = Site::start(name, &all_zones, specs)?;
        write_config(&site, scenario)?;
        let starts_later = |name: &String| {
            scenario
                .steps
                .iter()
                .any(|step| step.action == Action::Vm(Operation::Start, name.clone()))
        };
        for step in &scenario.steps {
            if let Action::Partition(name, true) = &step.action {
                site.add_relay(name)?;
            }
        }
        for (name, zone) in vms.iter().filter(|(name, _)| !starts_later(name)) {
            site.start_daemon(name, zone)?;
        }
        site.wait_until_owned(OWNERSHIP_TIMEOUT)?;
        // A daemon that owns nothing may not have read its configuration yet.
        site.wait_until_ready(OWNERSHIP_TIMEOUT)?;
        Ok(Self {
            site,
            zones,
            requests: BTreeMap::new(),
            callers: Vec::new(),
            responses: Responses::default(),
            leaving_since_ms: BTreeMap::new(),
            exited_cleanly: BTreeMap::new(),
            stopping: BTreeMap::new(),
            aliases: BTreeMap::new(),
        })
    }

    fn run_steps(&mut self, scenario: &Scenario) -> Result<(), String> {
        let started = Instant::now();
        let mut steps = scenario.steps.clone();
        steps.sort_by_key(|step| step.at);
        for step in steps {
            std::thread::sleep(step.at.saturating_sub(started.elapsed()));
            self.run_action(step.action)
                .map_err(|message| format!("line {}: {message}", step.line))?;
        }
        for caller in self.callers.drain(..) {
            caller.join().map_err(|_| "a caller panicked")?;
        }
        for (name, mut daemon) in std::mem::take(&mut self.stopping) {
            self.exited_cleanly.insert(name, daemon.process.wait());
        }
        Ok(())
    }

    fn run_action(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Request(request) => {
                self.send(request);
                Ok(())
            }
            Action::Vm(fate, name) => self.apply_to_vm(fate, &name),
            Action::Store(outage) => self
                .site
                .post_switch(&self.site.store, &switch::store_faults(outage)),
            Action::Endpoint(name, fault) => {
                let address = self.site.endpoints.get(&name).ok_or("unknown endpoint")?;
                self.site
                    .post_switch(address, &switch::endpoint_faults(fault))
            }
            Action::Partition(name, cut) => self.site.set_partitioned(&name, cut),
            Action::Drain(name) => {
                self.site.drain_endpoint(&name)?;
                self.leaving_since_ms.insert(name, unix_ms());
                Ok(())
            }
            Action::Leaving(name) => {
                let change = json!({ "name": name, "state": "leaving" });
                self.site.post_switch(&self.site.vms, &change)?;
                self.leaving_since_ms.insert(name, unix_ms());
                Ok(())
            }
            Action::Retire(model) => {
                let (name, version) = model.split_once('@').ok_or("no version")?;
                let mut adapter = adapter_config(&[]);
                adapter["versions"][version] = json!("retired");
                self.site.write_config(&format!("adapter/{name}"), &adapter)
            }
        }
    }

    /// Resolves a VM's name, `owner(ENDPOINT)`, or `other(ENDPOINT)`: a VM that is not the owner.
    fn resolve(&mut self, name: &str) -> String {
        let Some((kind, endpoint)) = name.strip_suffix(')').and_then(|n| n.split_once('(')) else {
            return name.to_string();
        };
        if let Some(resolved) = self.aliases.get(name) {
            return resolved.clone();
        }
        let owner = self.site.owner_of(endpoint);
        let mut others = self.site.daemons.keys().filter(|vm| **vm != owner);
        let resolved = if kind == "owner" {
            owner.clone()
        } else {
            others.next().cloned().unwrap_or_default()
        };
        self.aliases.insert(name.to_string(), resolved.clone());
        resolved
    }

    fn apply_to_vm(&mut self, fate: Operation, name: &str) -> Result<(), String> {
        let name = &self.resolve(name);
        if fate == Operation::Start {
            let zone = self.zones.get(name).ok_or("unknown vm")?.clone();
            return self.site.start_daemon(name, &zone);
        }
        let daemon = self
            .site
            .daemons
            .get_mut(name)
            .ok_or("the vm does not run")?;
        match fate {
            Operation::Pause => daemon.process.signal("STOP"),
            Operation::Resume => daemon.process.signal("CONT"),
            Operation::Kill => {
                daemon.process.kill();
                self.site.daemons.remove(name);
                Ok(())
            }
            _ => {
                daemon.process.signal("TERM")?;
                if let Some(daemon) = self.site.daemons.remove(name) {
                    self.stopping.insert(name.clone(), daemon);
                }
                Ok(())
            }
        }
    }

    fn send(&mut self, mut request: Request) {
        request.vm = self.resolve(&request.vm);
        self.requests.insert(request.id.clone(), request.clone());
        let daemon = self.site.daemons.get(&request.vm);
        let address = daemon
            .or_else(|| self.stopping.get(&request.vm))
            .map(|d| d.callers.clone());
        let responses = self.responses.clone();
        self.callers.push(std::thread::spawn(move || {
            // No process listens on port 1, so the request gets no response.
            let address = address.unwrap_or_else(|| "127.0.0.1:1".to_string());
            let response = smol::block_on(switch::send_request(&address, &request));
            let mut responses = responses
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            responses.insert(request.id, response);
        }));
    }

    fn logs(&self) -> String {
        let daemons = self.site.daemons.iter().chain(&self.stopping);
        let parts: Vec<String> = daemons
            .filter_map(|(name, daemon)| {
                let text = std::fs::read_to_string(&daemon.log).ok()?;
                let lines: Vec<&str> = text.lines().rev().take(30).collect();
                let lines: Vec<&str> = lines.into_iter().rev().collect();
                Some(format!("--- {name}\n{}", lines.join("\n")))
            })
            .collect();
        parts.join("\n")
    }
}

fn write_config(site: &Site, scenario: &Scenario) -> Result<(), String> {
    site.write_organisation(ORGANISATION)?;
    site.write_services()?;
    for part in &scenario.parts {
        if let Part::Adapter(Adapter { name, zones }) = part {
            let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
            site.write_config(&format!("adapter/{name}"), &adapter_config(&zones))?;
        }
    }
    Ok(())
}

fn adapter_config(zones: &[&str]) -> Value {
    json!({
        "base": "hymnal", "service": "hymnal", "organisations": [ORGANISATION],
        "versions": { "1": "active", "2": "active" },
        "place": { "region": REGION, "zones": zones },
    })
}
