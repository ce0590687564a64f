//! A site: a small deployment of separate processes (emulators and daemons) in one region.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use endivespur_net::client;
use endivespur_net::store::{Client, Write};
use http_types::Method;
use serde_json::{Value, json};

use crate::call::{CALL_TIMEOUT, Response, call};
use crate::process::{self, Process};

/// The region of a site.
pub const REGION: &str = "nairobi";

/// The specification of an endpoint of a site.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// The endpoint's name.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// The service.
    pub service: String,
    /// The number of adapter slots; 0 for an endpoint of a plain service.
    pub slots: usize,
    /// The maximum number of requests in a step.
    pub batch: usize,
    /// The duration of a step in milliseconds.
    pub step_ms: u64,
    /// Whether fencing numbers are enforced.
    pub fenced: bool,
}

impl EndpointSpec {
    /// Returns an engine of the service `hymnal`.
    pub fn engine(name: &str, zone: &str) -> Self {
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

    /// Returns an endpoint of a plain service.
    pub fn plain(name: &str, zone: &str, service: &str) -> Self {
        Self {
            service: service.to_string(),
            slots: 0,
            batch: 64,
            ..Self::engine(name, zone)
        }
    }

    /// Sets the duration of a step.
    pub fn with_step_ms(mut self, step_ms: u64) -> Self {
        self.step_ms = step_ms;
        self
    }

    /// Sets whether fencing numbers are enforced.
    pub fn with_fenced(mut self, fenced: bool) -> Self {
        self.fenced = fenced;
        self
    }

    /// Sets the number of adapter slots.
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
    /// The listen address for callers.
    pub callers: String,
    /// The listen address for operators.
    pub operators: String,
    /// The listen address for other daemons.
    pub nodes: String,
    /// The log file.
    pub log: PathBuf,
}

/// A running site.
pub struct Site {
    folder: PathBuf,
    bin: PathBuf,
    /// The address of the store.
    pub store: String,
    /// The address of the weight store.
    pub weights: String,
    /// The address of the VM list.
    pub vms: String,
    /// The endpoints' addresses by name.
    pub endpoints: BTreeMap<String, String>,
    /// The running daemons by name.
    pub daemons: BTreeMap<String, Daemon>,
    /// The emulators' processes by name.
    pub emulators: BTreeMap<String, Process>,
    zones: Vec<String>,
    specs: BTreeMap<String, EndpointSpec>,
    /// Whether daemons started from now on require tokens.
    pub requires_tokens: bool,
    /// The limits in the settings of daemons started from now on.
    pub limits: Value,
    /// The relays in front of the store by daemon: the address for data and the one for control.
    relays: BTreeMap<String, (String, String)>,
}

impl Site {
    /// Starts the emulators and writes the configuration of the endpoints in `specs`.
    ///
    /// # Errors
    ///
    /// Returns a message if a process does not start.
    pub fn start(name: &str, zones: &[&str], specs: Vec<EndpointSpec>) -> Result<Self, String> {
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
            emulators: BTreeMap::new(),
            zones: zones.iter().map(ToString::to_string).collect(),
            specs: BTreeMap::new(),
            requires_tokens: false,
            limits: json!({}),
            relays: BTreeMap::new(),
        };
        site.store = site.start_emulator("store", &["store"])?;
        site.weights = site.start_emulator("weights", &["weights"])?;
        site.vms = site.start_emulator("vms", &["vms", "--lag-ms", "500"])?;
        for spec in specs {
            site.add_endpoint(&spec)?;
        }
        Ok(site)
    }

    fn start_emulator(&mut self, name: &str, arguments: &[&str]) -> Result<String, String> {
        let mut command = vec!["stand"];
        command.extend(arguments);
        let process = Process::start(&self.bin.join("endivespur_dev"), &command, None)?;
        let address = process.first_line.clone();
        self.emulators.insert(name.to_string(), process);
        Ok(address)
    }

    /// Starts a relay between the store and a daemon that is started later.
    ///
    /// # Errors
    ///
    /// Returns a message if the relay does not start.
    pub fn add_relay(&mut self, daemon: &str) -> Result<(), String> {
        let store = self.store.clone();
        let line = self.start_emulator(&format!("relay-{daemon}"), &["relay", "--to", &store])?;
        let (data, control) = line
            .split_once(' ')
            .ok_or("the relay printed no control address")?;
        let relay = (data.to_string(), control.to_string());
        self.relays.insert(daemon.to_string(), relay);
        Ok(())
    }

    /// Partitions a daemon from the store, or ends the partition.
    ///
    /// # Errors
    ///
    /// Returns a message if the daemon has no relay.
    pub fn set_partitioned(&self, daemon: &str, is_partitioned: bool) -> Result<(), String> {
        let (_, control) = self.relays.get(daemon).ok_or("the daemon has no relay")?;
        let path = if is_partitioned { "/cut" } else { "/heal" };
        smol::block_on(client::post_json(control, path, &json!({}), CALL_TIMEOUT))
            .map(|_| ())
            .map_err(|error| error.to_string())
    }

    /// Starts an endpoint's emulator and writes the endpoint's configuration.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not start.
    pub fn add_endpoint(&mut self, spec: &EndpointSpec) -> Result<(), String> {
        let numbers = [spec.slots as u64, spec.batch as u64, spec.step_ms].map(|n| n.to_string());
        let weights = self.weights.clone();
        let mut arguments = vec!["engine", "--slots", &numbers[0], "--batch", &numbers[1]];
        arguments.extend(["--step-ms", &numbers[2], "--weights", &weights]);
        if spec.fenced {
            arguments.push("--fenced");
        }
        if spec.slots == 0 {
            arguments = vec!["plain"];
        }
        let address = self.start_emulator(&spec.name, &arguments)?;
        self.endpoints.insert(spec.name.clone(), address.clone());
        self.specs.insert(spec.name.clone(), spec.clone());
        self.write_config(
            &format!("endpoint/{}", spec.name),
            &Self::endpoint_config(spec, &address, false),
        )
    }

    fn endpoint_config(spec: &EndpointSpec, address: &str, is_drained: bool) -> Value {
        json!({
            "kind": if spec.slots == 0 { "plain" } else { "engine" },
            "service": spec.service, "address": address, "region": REGION, "zone": spec.zone,
            "slots": spec.slots, "batch": spec.batch, "fenced": spec.fenced, "drained": is_drained,
        })
    }

    /// Marks an endpoint as drained in the configuration.
    ///
    /// # Errors
    ///
    /// Returns a message if the endpoint is unknown or the store does not answer.
    pub fn drain_endpoint(&self, name: &str) -> Result<(), String> {
        let spec = self.specs.get(name).ok_or("unknown endpoint")?;
        let address = self.endpoints.get(name).ok_or("unknown endpoint")?;
        self.write_config(
            &format!("endpoint/{name}"),
            &Self::endpoint_config(spec, address, true),
        )
    }

    /// Writes a configuration object.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn write_config(&self, key: &str, value: &Value) -> Result<(), String> {
        let client = Client::new(&self.store, CALL_TIMEOUT);
        let key = format!("{}{key}", endivespur_core::config::PREFIX);
        let write = Write::new(&key, &value.to_string());
        smol::block_on(client.write_one(write)).map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Writes the configuration of an adapter of the service `hymnal` that `organisation` may use.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn write_adapter(
        &self,
        name: &str,
        organisation: &str,
        zones: &[&str],
    ) -> Result<(), String> {
        let place = json!({ "region": REGION, "zones": zones });
        let adapter = json!({
            "base": "hymnal", "service": "hymnal", "organisations": [organisation],
            "versions": { "1": "active", "2": "active" }, "place": place,
        });
        self.write_config(&format!("adapter/{name}"), &adapter)
    }

    /// Writes the configuration of the services `hymnal`, and `orders` with a route whose calls
    /// run at most once.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn write_services(&self) -> Result<(), String> {
        self.write_config("service/hymnal", &json!({ "class": "draft" }))?;
        let routes = json!([{ "method": "POST", "path": "/confirm" }]);
        self.write_config(
            "service/orders",
            &json!({ "class": "order", "routes": routes }),
        )
    }

    /// Writes the configuration of an organisation that may use the whole region.
    ///
    /// # Errors
    ///
    /// Returns a message if the store does not answer.
    pub fn write_organisation(&self, name: &str) -> Result<(), String> {
        let organisation = json!({ "place": { "region": REGION } });
        self.write_config(&format!("organisation/{name}"), &organisation)
    }

    /// Starts a daemon with short leases; its peers are the daemons that already run.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not start.
    pub fn start_daemon(&mut self, name: &str, zone: &str) -> Result<(), String> {
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
            "limits": self.limits,
        });
        let settings = self.add_tokens(settings)?;
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

    /// Adds tokens to the settings if they are required; their texts are `caller-NAME`, `operator`
    /// and `node`.
    fn add_tokens(&self, mut settings: Value) -> Result<Value, String> {
        if !self.requires_tokens {
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

    /// Waits until each endpoint has exactly one owner among the running daemons; returns the
    /// time that this took.
    ///
    /// # Errors
    ///
    /// Returns a message if that takes longer than `limit`.
    pub fn wait_until_owned(&self, limit: Duration) -> Result<Duration, String> {
        let started = Instant::now();
        let expected: Vec<&String> = self.endpoints.keys().collect();
        wait_until(limit, || {
            let mut owned: Vec<String> = Vec::new();
            for name in self.daemons.keys() {
                let state = self.state_of(name);
                let list = state["owned"].as_array().cloned().unwrap_or_default();
                owned.extend(
                    list.iter()
                        .filter_map(|item| Some(item["endpoint"].as_str()?.to_string())),
                );
            }
            owned.sort();
            owned.iter().eq(expected.iter().copied())
        })?;
        Ok(started.elapsed())
    }

    /// Waits until each running daemon has a current configuration.
    ///
    /// # Errors
    ///
    /// Returns a message if that takes longer than `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        wait_until(limit, || {
            let is_ready = |name: &String| {
                let response = self.call(name, Method::Get, "/readyz", &[], None);
                response.status == 200
            };
            self.daemons.keys().all(is_ready)
        })
    }

    /// Returns the daemon that reports itself as an endpoint's owner, or an empty name.
    pub fn owner_of(&self, endpoint: &str) -> String {
        let is_owner = |name: &&String| {
            let owned = self.state_of(name)["owned"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            owned.iter().any(|item| item["endpoint"] == endpoint)
        };
        self.daemons
            .keys()
            .find(is_owner)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the state that a daemon reports, or null if it does not answer.
    pub fn state_of(&self, daemon: &str) -> Value {
        let Some(daemon) = self.daemons.get(daemon) else {
            return Value::Null;
        };
        let call = client::get_json(&daemon.operators, "/state", Duration::from_secs(2));
        smol::block_on(call).unwrap_or(Value::Null)
    }

    /// Returns the counters of an emulator, or null if it does not answer.
    pub fn counts_of(&self, address: &str) -> Value {
        smol::block_on(client::get_json(address, "/counts", CALL_TIMEOUT)).unwrap_or(Value::Null)
    }

    /// Posts to an emulator's `/switch` path: the faults to inject, or a change of the VM list.
    ///
    /// # Errors
    ///
    /// Returns a message if the emulator does not answer.
    pub fn post_switch(&self, address: &str, value: &Value) -> Result<(), String> {
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
    ) -> Response {
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

    /// Sends a call through a daemon and waits for the complete response.
    pub fn call(
        &self,
        daemon: &str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        value: Option<&Value>,
    ) -> Response {
        // No process listens on port 1, so a call to an unknown daemon gets no response.
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
        self.emulators.clear();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Polls until a condition holds.
///
/// # Errors
///
/// Returns a message if it does not hold within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!(
        "the condition did not hold within {} ms",
        limit.as_millis()
    ))
}
