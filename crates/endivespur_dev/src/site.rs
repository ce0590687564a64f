//! A small site of separate processes: stand-ins, daemons, and the calls to them.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use endivespur_net::client;
use endivespur_net::store::{Client, Write};
use http_types::Method;
use serde_json::{Value, json};

use crate::call::{Answer, CALL_TIMEOUT, call};
use crate::process::{self, Process};

/// The region of a site.
pub const REGION: &str = "nairobi";

/// An endpoint of a site.
#[derive(Clone, Debug)]
pub struct Spot {
    /// The endpoint's name.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// The service.
    pub service: String,
    /// The slots; 0 makes a plain service.
    pub slots: usize,
    /// The most requests in a step.
    pub batch: usize,
    /// The time of a step.
    pub step_ms: u64,
    /// Whether fencing numbers are enforced.
    pub fenced: bool,
}

impl Spot {
    /// Makes an engine of the service `hymnal`.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.to_string(),
            zone: zone.to_string(),
            service: "hymnal".to_string(),
            slots: 4,
            batch: 8,
            step_ms: 10,
            fenced: true,
        }
    }

    /// Makes a plain endpoint of a service.
    pub fn plain(name: &str, zone: &str, service: &str) -> Self {
        Self {
            service: service.to_string(),
            slots: 0,
            batch: 64,
            ..Self::new(name, zone)
        }
    }

    /// Sets the time of a step.
    pub fn with_step_ms(mut self, step_ms: u64) -> Self {
        self.step_ms = step_ms;
        self
    }

    /// Sets whether fencing numbers are enforced.
    pub fn with_fenced(mut self, fenced: bool) -> Self {
        self.fenced = fenced;
        self
    }

    /// Sets the slots.
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }
}

/// A daemon of a site.
pub struct Daemon {
    /// The process.
    pub process: Process,
    /// The zone.
    pub zone: String,
    /// The address for callers.
    pub callers: String,
    /// The address for operators.
    pub operators: String,
    /// The address for other daemons.
    pub nodes: String,
    /// The log file.
    pub log: PathBuf,
}

/// A running site.
pub struct Site {
    folder: PathBuf,
    bin: PathBuf,
    /// The store's address.
    pub store: String,
    /// The weight store's address.
    pub weights: String,
    /// The VM list's address.
    pub vms: String,
    /// Endpoints' addresses by name.
    pub endpoints: BTreeMap<String, String>,
    /// Daemons by name.
    pub daemons: BTreeMap<String, Daemon>,
    /// The processes of the stand-ins by name.
    pub stands: BTreeMap<String, Process>,
    zones: Vec<String>,
    spots: BTreeMap<String, Spot>,
    /// Whether daemons started from now on ask for tokens.
    pub guarded: bool,
    /// The store's address for daemons behind a relay, and the relay's switch.
    relays: BTreeMap<String, (String, String)>,
}

impl Site {
    /// Starts the stand-ins for `spots` and writes the configuration.
    ///
    /// # Errors
    ///
    /// Returns a message if a process does not start.
    pub fn start(name: &str, zones: &[&str], spots: Vec<Spot>) -> Result<Self, String> {
        let bin = process::build()?;
        let folder = bin
            .join("sites")
            .join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut site = Self {
            folder,
            bin,
            store: String::new(),
            weights: String::new(),
            vms: String::new(),
            endpoints: BTreeMap::new(),
            daemons: BTreeMap::new(),
            stands: BTreeMap::new(),
            zones: zones.iter().map(ToString::to_string).collect(),
            spots: BTreeMap::new(),
            guarded: false,
            relays: BTreeMap::new(),
        };
        site.store = site.stand("store", &["store"])?;
        site.weights = site.stand("weights", &["weights"])?;
        site.vms = site.stand("vms", &["vms", "--lag-ms", "500"])?;
        for spot in spots {
            site.add(&spot)?;
        }
        Ok(site)
    }

    fn stand(&mut self, name: &str, arguments: &[&str]) -> Result<String, String> {
        let mut all = vec!["stand"];
        all.extend(arguments);
        let process = Process::start(&self.bin.join("endivespur_dev"), &all, None)?;
        let address = process.first_line.clone();
        self.stands.insert(name.to_string(), process);
        Ok(address)
    }

    /// Puts a relay between the store and a daemon that is started later.
    ///
    /// # Errors
    ///
    /// Returns a message if the relay does not start.
    pub fn relay(&mut self, daemon: &str) -> Result<(), String> {
        let store = self.store.clone();
        let line = self.stand(&format!("relay-{daemon}"), &["relay", "--to", &store])?;
        let (data, control) = line.split_once(' ').ok_or("no addresses")?;
        let relay = (data.to_string(), control.to_string());
        self.relays.insert(daemon.to_string(), relay);
        Ok(())
    }

    /// Cuts a daemon off from the store, or heals the cut.
    ///
    /// # Errors
    ///
    /// Returns a message if the daemon has no relay.
    pub fn cut(&self, daemon: &str, cut: bool) -> Result<(), String> {
        let (_, control) = self.relays.get(daemon).ok_or("no relay")?;
        let path = if cut { "/cut" } else { "/heal" };
        smol::block_on(client::post_json(control, path, &json!({}), CALL_TIMEOUT))
            .map(|_| ())
            .map_err(|error| error.to_string())
    }

    /// Starts an endpoint's stand-in and configures the endpoint.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not start.
    pub fn add(&mut self, spot: &Spot) -> Result<(), String> {
        let numbers = [spot.slots as u64, spot.batch as u64, spot.step_ms].map(|n| n.to_string());
        let weights = self.weights.clone();
        let mut arguments = vec!["engine", "--slots", &numbers[0], "--batch", &numbers[1]];
        arguments.extend(["--step-ms", &numbers[2], "--weights", &weights]);
        if spot.fenced {
            arguments.push("--fenced");
        }
        if spot.slots == 0 {
            arguments = vec!["plain"];
        }
        let address = self.stand(&spot.name, &arguments)?;
        self.endpoints.insert(spot.name.clone(), address.clone());
        self.spots.insert(spot.name.clone(), spot.clone());
        self.configure(
            &format!("endpoint/{}", spot.name),
            &Self::target(spot, &address, false),
        )
    }

    fn target(spot: &Spot, address: &str, drained: bool) -> Value {
        json!({
            "kind": if spot.slots == 0 { "plain" } else { "engine" },
            "service": spot.service, "address": address, "region": REGION, "zone": spot.zone,
            "slots": spot.slots, "batch": spot.batch, "fenced": spot.fenced, "drained": drained,
        })
    }

    /// Drains an endpoint.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn drain(&self, name: &str) -> Result<(), String> {
        let spot = self.spots.get(name).ok_or("unknown endpoint")?;
        let address = self.endpoints.get(name).ok_or("unknown endpoint")?;
        self.configure(
            &format!("endpoint/{name}"),
            &Self::target(spot, address, true),
        )
    }

    /// Writes an object of the configuration.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn configure(&self, key: &str, value: &Value) -> Result<(), String> {
        let client = Client::new(&self.store, CALL_TIMEOUT);
        let key = format!("{}{key}", endivespur_core::config::PREFIX);
        let write = Write::new(&key, &value.to_string());
        smol::block_on(client.write_one(write)).map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Writes an adapter of the service `hymnal` that `organisation` may name.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn adapter(&self, name: &str, organisation: &str, zones: &[&str]) -> Result<(), String> {
        let place = json!({ "region": REGION, "zones": zones });
        let adapter = json!({
            "base": "hymnal", "service": "hymnal", "organisations": [organisation],
            "versions": { "1": "active", "2": "active" }, "place": place,
        });
        self.configure(&format!("adapter/{name}"), &adapter)
    }

    /// Writes the services `hymnal`, and `orders` with a route that may not be repeated.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn services(&self) -> Result<(), String> {
        self.configure("service/hymnal", &json!({ "class": "draft" }))?;
        let routes = json!([{ "method": "POST", "path": "/confirm" }]);
        self.configure(
            "service/orders",
            &json!({ "class": "order", "routes": routes }),
        )
    }

    /// Writes an organisation that may use the whole region.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn organisation(&self, name: &str) -> Result<(), String> {
        let tenant = json!({ "place": { "region": REGION } });
        self.configure(&format!("organisation/{name}"), &tenant)
    }

    /// Starts a daemon with short leases.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not start.
    pub fn daemon(&mut self, name: &str, zone: &str) -> Result<(), String> {
        let relay = self.relays.get(name).map(|(data, _)| data.clone());
        let store = relay.unwrap_or_else(|| self.store.clone());
        let settings = json!({
            "vm": name, "region": REGION, "zone": zone, "zones": self.zones,
            "listen": {
                "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "nodes": "127.0.0.1:0",
            },
            "store": { "address": store, "timeout": "500ms", "check": "1s" },
            "peers": self.daemons.values().map(|daemon| &daemon.nodes).collect::<Vec<_>>(),
            "vms": { "address": self.vms, "interval": "500ms" },
            "lease": { "ttl": "3s", "renew": "1s", "margin": "2s" },
            "stop": { "grace": "500ms", "bound": "30s" },
        });
        let settings = self.guard(settings)?;
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let path = path.display().to_string();
        let process = Process::start(
            &self.bin.join("endivespurd"),
            &["--settings", &path],
            Some(&log),
        )?;
        let addresses: Value =
            serde_json::from_str(&process.first_line).map_err(|error| error.to_string())?;
        let address = |field: &str| addresses[field].as_str().unwrap_or_default().to_string();
        let daemon = Daemon {
            callers: address("callers"),
            operators: address("operators"),
            nodes: address("nodes"),
            zone: zone.to_string(),
            process,
            log,
        };
        self.daemons.insert(name.to_string(), daemon);
        Ok(())
    }

    /// Adds secrets to the settings, if they are wanted: `caller-NAME`, `operator`, `node`.
    fn guard(&self, mut settings: Value) -> Result<Value, String> {
        if !self.guarded {
            return Ok(settings);
        }
        let secret = |text: &str| -> Result<Value, String> {
            let path = self.folder.join(text);
            std::fs::write(&path, text).map_err(|error| error.to_string())?;
            Ok(json!({ "file": path }))
        };
        settings["tokens"] = json!({
            "callers": { "o": secret("caller-o")?, "stranger": secret("caller-stranger")? },
            "operators": secret("operator")?, "nodes": secret("node")?,
        });
        Ok(settings)
    }

    /// Waits until each endpoint has a live owner, known to each daemon, with its list.
    ///
    /// # Errors
    ///
    /// Returns a message if that takes longer than `limit`.
    pub fn wait_owned(&self, limit: Duration) -> Result<Duration, String> {
        let begun = Instant::now();
        let wanted: Vec<&String> = self.endpoints.keys().collect();
        wait_until(limit, || {
            let mut owned: Vec<String> = Vec::new();
            for name in self.daemons.keys() {
                let state = self.state(name);
                let list = state["owned"].as_array().cloned().unwrap_or_default();
                owned.extend(
                    list.iter()
                        .filter_map(|o| Some(o["endpoint"].as_str()?.to_string())),
                );
            }
            owned.sort();
            owned.iter().eq(wanted.iter().copied())
        })?;
        Ok(begun.elapsed())
    }

    /// Returns the daemon that owns an endpoint, empty if none says so.
    pub fn owner(&self, endpoint: &str) -> String {
        let owns = |name: &&String| {
            let owned = self.state(name)["owned"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            owned.iter().any(|host| host["endpoint"] == endpoint)
        };
        self.daemons.keys().find(owns).cloned().unwrap_or_default()
    }

    /// Returns a daemon's own state.
    pub fn state(&self, daemon: &str) -> Value {
        let Some(daemon) = self.daemons.get(daemon) else {
            return Value::Null;
        };
        let call = client::get_json(&daemon.operators, "/state", Duration::from_secs(2));
        smol::block_on(call).unwrap_or(Value::Null)
    }

    /// Returns what a stand-in has counted.
    pub fn counts(&self, address: &str) -> Value {
        smol::block_on(client::get_json(address, "/counts", CALL_TIMEOUT)).unwrap_or(Value::Null)
    }

    /// Switches failures of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not answer.
    pub fn switch(&self, address: &str, value: &Value) -> Result<(), String> {
        smol::block_on(client::post_json(address, "/switch", value, CALL_TIMEOUT))
            .map(|_| ())
            .map_err(|error| error.to_string())
    }

    /// Sends a completion through a daemon.
    pub fn complete(
        &self,
        daemon: &str,
        organisation: &str,
        model: &str,
        options: &Value,
    ) -> Answer {
        let mut call = json!({ "model": model, "prompt": "draft", "max_tokens": 8 });
        if let (Some(call), Some(options)) = (call.as_object_mut(), options.as_object()) {
            call.extend(options.clone());
        }
        self.call(
            daemon,
            Method::Post,
            "/v1/completions",
            &[("endivespur-organisation", organisation)],
            Some(&call),
        )
    }

    /// Sends a call through a daemon and waits for the whole answer.
    pub fn call(
        &self,
        daemon: &str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        value: Option<&Value>,
    ) -> Answer {
        let address = self
            .daemons
            .get(daemon)
            .map_or("127.0.0.1:1", |d| d.callers.as_str());
        smol::block_on(call(address, method, path, headers, value))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.clear();
        self.stands.clear();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns a message if it does not hold within `limit`.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if holds() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("not within {} ms", limit.as_millis()))
}
