//! Plays each file under `resources/scenarios` with real processes on loopback.

mod judge;
mod switch;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use endivespur_dev::call::Answer;
use endivespur_dev::site::{REGION, Site, Spot};
use endivespur_dev::stand::unix_ms;
use endivespur_scenario::{Action, Adapter, Operation, Part, Request, Scenario, parse};
use libtest_mimic::{Arguments, Failed, Trial};
use serde_json::{Value, json};

/// The longest wait for an owner of each endpoint.
const OWNED: Duration = Duration::from_secs(20);
/// Files played at the same time; each has up to a dozen processes.
const AT_ONCE: usize = 4;
/// The organisation that calls.
const CALLER: &str = "kilimani";

type Answers = Arc<Mutex<BTreeMap<String, Answer>>>;

fn main() {
    let mut arguments = Arguments::from_args();
    arguments.test_threads.get_or_insert(AT_ONCE);
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("resources/scenarios");
    let mut trials: Vec<Trial> = std::fs::read_dir(folder)
        .into_iter()
        .flatten()
        .flatten()
        .map(|file| file.path())
        .filter_map(|path| {
            let name = path.file_stem()?.to_str()?.to_string();
            let text = std::fs::read_to_string(&path).ok()?;
            Some(Trial::test(name.clone(), move || play(&name, &text)))
        })
        .collect();
    trials.sort_by(|a, b| a.name().cmp(b.name()));
    libtest_mimic::run(&arguments, trials).exit();
}

fn play(name: &str, text: &str) -> Result<(), Failed> {
    let scenario = parse(text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;
    let mut stage = Stage::set(name, &scenario)?;
    stage.perform(&scenario)?;
    let mut faults = stage.judge(&scenario);
    if faults.is_empty() {
        return Ok(());
    }
    faults.push(stage.logs());
    Err(faults.join("\n").into())
}

/// A running site with what was asked of it.
struct Stage {
    site: Site,
    zones: BTreeMap<String, String>,
    requests: BTreeMap<String, Request>,
    callers: Vec<JoinHandle<()>>,
    answers: Answers,
    /// When each endpoint was told to leave, in milliseconds since the Unix epoch.
    left: BTreeMap<String, u64>,
    clean: BTreeMap<String, bool>,
    stopping: BTreeMap<String, endivespur_dev::site::Daemon>,
    /// What `owner(ENDPOINT)` and `other(ENDPOINT)` stood for when first used.
    aliases: BTreeMap<String, String>,
}

impl Stage {
    fn set(name: &str, scenario: &Scenario) -> Result<Self, String> {
        let mut vms = BTreeMap::new();
        let mut zones = BTreeMap::new();
        let mut spots = Vec::new();
        for part in &scenario.parts {
            match part {
                Part::Vm(name, zone) => {
                    vms.insert(name.clone(), zone.clone());
                }
                Part::Engine(engine) => spots.push(Spot {
                    name: engine.name.clone(),
                    zone: engine.zone.clone(),
                    service: "hymnal".to_string(),
                    slots: engine.slots,
                    batch: engine.batch,
                    step_ms: engine.step.as_millis() as u64,
                    fenced: engine.fenced,
                }),
                Part::Plain(name, zone) => spots.push(Spot::plain(name, zone, "orders")),
                Part::Adapter(_) => {}
            }
        }
        zones.extend(vms.clone());
        zones.extend(
            spots
                .iter()
                .map(|spot| (spot.name.clone(), spot.zone.clone())),
        );
        let all: Vec<&str> = zones.values().map(String::as_str).collect();
        let mut site = Site::start(name, &all, spots)?;
        configure(&site, scenario)?;
        let late = |name: &String| {
            scenario
                .steps
                .iter()
                .any(|step| step.action == Action::Vm(Operation::Start, name.clone()))
        };
        for step in &scenario.steps {
            if let Action::Partition(name, true) = &step.action {
                site.relay(name)?;
            }
        }
        for (name, zone) in vms.iter().filter(|(name, _)| !late(name)) {
            site.daemon(name, zone)?;
        }
        site.wait_owned(OWNED)?;
        Ok(Self {
            site,
            zones,
            requests: BTreeMap::new(),
            callers: Vec::new(),
            answers: Answers::default(),
            left: BTreeMap::new(),
            clean: BTreeMap::new(),
            stopping: BTreeMap::new(),
            aliases: BTreeMap::new(),
        })
    }

    fn perform(&mut self, scenario: &Scenario) -> Result<(), String> {
        let begun = Instant::now();
        let mut steps = scenario.steps.clone();
        steps.sort_by_key(|step| step.at);
        for step in steps {
            std::thread::sleep(step.at.saturating_sub(begun.elapsed()));
            self.act(step.action)
                .map_err(|message| format!("line {}: {message}", step.line))?;
        }
        for caller in self.callers.drain(..) {
            caller.join().map_err(|_| "a caller panicked")?;
        }
        for (name, mut daemon) in std::mem::take(&mut self.stopping) {
            self.clean.insert(name, daemon.process.wait());
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Request(request) => {
                self.send(request);
                Ok(())
            }
            Action::Vm(fate, name) => self.happen(fate, &name),
            Action::Store(outage) => self.site.switch(&self.site.store, &switch::store(outage)),
            Action::Endpoint(name, fault) => {
                let address = self.site.endpoints.get(&name).ok_or("unknown endpoint")?;
                self.site.switch(address, &switch::fault(fault))
            }
            Action::Partition(name, cut) => self.site.cut(&name, cut),
            Action::Drain(name) => {
                self.site.drain(&name)?;
                self.left.insert(name, unix_ms());
                Ok(())
            }
            Action::Leaving(name) => {
                let change = json!({ "name": name, "state": "leaving" });
                self.site.switch(&self.site.vms, &change)?;
                self.left.insert(name, unix_ms());
                Ok(())
            }
            Action::Retire(model) => {
                let (name, version) = model.split_once('@').ok_or("no version")?;
                let mut adapter = adapter(&[]);
                adapter["versions"][version] = json!("retired");
                self.site.configure(&format!("adapter/{name}"), &adapter)
            }
        }
    }

    /// Returns the VM that a name stands for: itself, or the owner of an endpoint, or
    /// another VM than the owner.
    fn resolve(&mut self, name: &str) -> String {
        let Some((kind, endpoint)) = name.strip_suffix(')').and_then(|n| n.split_once('(')) else {
            return name.to_string();
        };
        if let Some(known) = self.aliases.get(name) {
            return known.clone();
        }
        let owner = self.site.owner(endpoint);
        let mut others = self.site.daemons.keys().filter(|vm| **vm != owner);
        let found = if kind == "owner" {
            owner.clone()
        } else {
            others.next().cloned().unwrap_or_default()
        };
        self.aliases.insert(name.to_string(), found.clone());
        found
    }

    fn happen(&mut self, fate: Operation, name: &str) -> Result<(), String> {
        let name = &self.resolve(name);
        if fate == Operation::Start {
            let zone = self.zones.get(name).ok_or("unknown vm")?.clone();
            return self.site.daemon(name, &zone);
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
        let daemons = self.site.daemons.get(&request.vm);
        let address = daemons
            .or_else(|| self.stopping.get(&request.vm))
            .map(|d| d.callers.clone());
        let answers = self.answers.clone();
        self.callers.push(std::thread::spawn(move || {
            let address = address.unwrap_or_else(|| "127.0.0.1:1".to_string());
            let answer = smol::block_on(switch::ask(&address, &request));
            let mut answers = answers
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            answers.insert(request.id, answer);
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

fn configure(site: &Site, scenario: &Scenario) -> Result<(), String> {
    site.organisation(CALLER)?;
    site.services()?;
    for part in &scenario.parts {
        if let Part::Adapter(Adapter { name, zones }) = part {
            let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
            site.configure(&format!("adapter/{name}"), &adapter(&zones))?;
        }
    }
    Ok(())
}

fn adapter(zones: &[&str]) -> Value {
    json!({
        "base": "hymnal", "service": "hymnal", "organisations": [CALLER],
        "versions": { "1": "active", "2": "active" },
        "place": { "region": REGION, "zones": zones },
    })
}
