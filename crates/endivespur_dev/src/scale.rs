//! Measures the core's decisions at the target size: one region of three.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use endivespur_core::acquire::MAX_CANDIDATES;
use endivespur_core::config::{Entry, Snapshot};
use endivespur_core::hash;
use endivespur_core::id::Model;
use endivespur_core::lease::Authority;
use endivespur_core::member::{Claim, Node, Table, TakeoverDelay};
use endivespur_core::owner::{Demand, Owner, Spec};
use endivespur_core::queue;
use endivespur_core::route::{self, Request};
use endivespur_core::schedule::{Limit, Scheduler};
use serde_json::json;

/// The name of the measured region.
const REGION: &str = "r";
/// The number of zones of the region.
const ZONES: usize = 3;
/// The sizes: the current region, a tenth of the target region, and the target region.
const SIZES: [Size; 3] = [
    Size {
        nodes: 8,
        engines: 12,
        adapters: 3000,
    },
    Size {
        nodes: 28,
        engines: 210,
        adapters: 5700,
    },
    Size {
        nodes: 277,
        engines: 2100,
        adapters: 57_000,
    },
];

/// The size of a region; every node holds the configuration of every adapter.
#[derive(Clone, Copy, Debug)]
struct Size {
    nodes: usize,
    engines: usize,
    adapters: usize,
}

/// Measures each decision at each size and prints a table.
pub fn run() {
    println!("| what | {} |", SIZES.map(size_label).join(" | "));
    println!("|---|{}", "---|".repeat(SIZES.len()));
    let regions: Vec<Region> = SIZES.into_iter().map(Region::new).collect();
    print_row("configuration in memory, MB", &regions, |region| {
        region.config_bytes as f64 / 1e6
    });
    print_row("read all configuration, ms", &regions, |region| {
        region.read_ms
    });
    print_row("apply one change, µs", &regions, Region::time_apply);
    print_row(
        "look for what is new after a change (peer), µs",
        &regions,
        Region::time_changes,
    );
    print_row(
        "choose endpoints for a request, µs",
        &regions,
        Region::time_choose,
    );
    print_row("ask, grant and end at an owner, µs", &regions, |_| {
        time_grant()
    });
    print_row(
        "one permit with a want from each tenth engine, µs",
        &regions,
        Region::time_permit,
    );
    print_row(
        "look for takeovers, nothing lost, µs",
        &regions,
        Region::time_takeovers_without_loss,
    );
    print_row("look for takeovers, a zone lost, ms", &regions, |region| {
        region.lose_zone().0
    });
    print_row(
        "most endpoints one node takes over then",
        &regions,
        |region| region.lose_zone().1,
    );
    print_row("store calls for all of them", &regions, |region| {
        region.lose_zone().2
    });
    print_row(
        "endpoints without an owner after them",
        &regions,
        |region| region.lose_zone().3,
    );
}

fn size_label(size: Size) -> String {
    format!(
        "{} nodes, {} engines, {} adapters",
        size.nodes, size.engines, size.adapters
    )
}

fn print_row(name: &str, regions: &[Region], value: impl Fn(&Region) -> f64) {
    let cells: Vec<String> = regions
        .iter()
        .map(|region| {
            let value = value(region);
            if value >= 100.0 {
                format!("{value:.0}")
            } else {
                format!("{value:.2}")
            }
        })
        .collect();
    println!("| {name} | {} |", cells.join(" | "));
}

/// Returns the median duration of 31 calls in microseconds.
fn median_us(mut call: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..31)
        .map(|_| {
            let started = Instant::now();
            call();
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// A region as one node sees it: its configuration, and the table of nodes and owners.
struct Region {
    size: Size,
    config: Snapshot,
    table: Table,
    config_bytes: usize,
    read_ms: f64,
}

impl Region {
    fn new(size: Size) -> Self {
        let entries = config_entries(size);
        let before = resident_bytes();
        let started = Instant::now();
        let mut config = Snapshot::default();
        config.replace(1 << 30, entries);
        let read_ms = started.elapsed().as_secs_f64() * 1e3;
        let config_bytes = resident_bytes().saturating_sub(before);
        let mut region = Self {
            size,
            config,
            table: Table::default(),
            config_bytes,
            read_ms,
        };
        for node in 0..size.nodes {
            region
                .table
                .set_node(&vm_name(node), 1, Some(node_record(node)));
        }
        let names: Vec<String> = (0..size.nodes).map(vm_name).collect();
        for engine in 0..size.engines {
            let name = format!("e{engine}");
            let owner = hash::winner(&name, names.iter().map(String::as_str));
            let claim = owner.map(|vm| Claim {
                vm: vm.to_string(),
                incarnation: 1,
                address: String::new(),
                released: false,
            });
            region.table.set_owner(&name, 2, claim);
        }
        region
    }

    fn time_apply(&self) -> f64 {
        let mut config = self.config.clone();
        let mut revision = 1 << 40;
        median_us(|| {
            revision += 1;
            config.apply(adapter_entry(17, revision));
        })
    }

    fn time_changes(&self) -> f64 {
        let mut config = self.config.clone();
        config.apply(adapter_entry(17, 1 << 40));
        median_us(|| {
            std::hint::black_box(config.after((1 << 40) - 1));
        })
    }

    fn time_choose(&self) -> f64 {
        let request = Request {
            organisation: "o1".to_string(),
            base: Some("b".to_string()),
            service: None,
            model: Some(Model::new("x17", 1)),
            place: None,
        };
        median_us(|| {
            let none = |_: &str| false;
            let found = route::choose(&self.config, &request, (REGION, "z0"), none, MAX_CANDIDATES);
            std::hint::black_box(found).ok();
        })
    }

    fn time_permit(&self) -> f64 {
        let limit = Limit {
            interval: Duration::ZERO,
            transit: 1 << 30,
            patience: Duration::from_secs(30),
            timeout: Duration::from_secs(30),
        };
        let mut scheduler = Scheduler::new(limit, Duration::ZERO);
        for engine in 0..self.size.engines.div_ceil(10) {
            let demand = Demand {
                model: Model::new(&format!("x{engine}"), 1),
                organisation: format!("o{}", engine % 30),
                class: endivespur_core::config::Class::Draft,
                waiting: 1 + engine % 5,
                since: Duration::from_millis(engine as u64),
                deadline: Duration::from_secs(20),
            };
            scheduler.set("n", &format!("e{engine}"), vec![demand]);
        }
        median_us(|| {
            let Some(entry) = scheduler.permit(Duration::from_secs(10)) else {
                return;
            };
            scheduler.load_ended(&entry.endpoint, &entry.demand.model, true);
            scheduler.set("n", &entry.endpoint, vec![entry.demand]);
        })
    }

    fn takeovers(&self, table: &mut Table, vm: &str, now: Duration) -> usize {
        let delay = TakeoverDelay {
            margin: Duration::from_secs(2),
            ttl: Duration::from_secs(6),
        };
        table.takeovers(&self.config, vm, REGION, now, delay).len()
    }

    fn time_takeovers_without_loss(&self) -> f64 {
        let mut table = self.table.clone();
        median_us(|| {
            std::hint::black_box(self.takeovers(&mut table, "n0", Duration::from_secs(100)));
        })
    }

    /// Simulates the loss of a zone. Returns the time in milliseconds in which a node finds
    /// its takeovers, the maximum number of endpoints that one node takes over, the store
    /// calls of all nodes, and the number of endpoints that no node takes over.
    fn lose_zone(&self) -> (f64, f64, f64, f64) {
        let mut table = self.table.clone();
        for node in (0..self.size.nodes).filter(|node| node % ZONES == 0) {
            table.set_node(&vm_name(node), 3, None);
        }
        self.takeovers(&mut table, "n1", Duration::from_secs(10));
        let now = Duration::from_secs(20);
        let scan_us = median_us(|| {
            std::hint::black_box(self.takeovers(&mut table, "n1", now));
        });
        let mut taken_over: BTreeMap<usize, usize> = BTreeMap::new();
        for node in (0..self.size.nodes).filter(|node| node % ZONES != 0) {
            taken_over.insert(node, self.takeovers(&mut table, &vm_name(node), now));
        }
        let lost_engines = (0..self.size.engines).filter(|engine| {
            let name = format!("e{engine}");
            let owner = self.table.owner(&name).map(|(_, claim)| claim.vm.clone());
            owner
                .and_then(|vm| vm[1..].parse::<usize>().ok())
                .is_some_and(|n| n % ZONES == 0)
        });
        // One store call claims at most 64 endpoints.
        let calls: usize = taken_over.values().map(|count| count.div_ceil(64)).sum();
        let total: usize = taken_over.values().sum();
        let max_taken_over = taken_over.values().max().copied().unwrap_or(0);
        let unowned = lost_engines.count().saturating_sub(total);
        (
            scan_us / 1e3,
            max_taken_over as f64,
            calls as f64,
            unowned as f64,
        )
    }
}

fn time_grant() -> f64 {
    let spec = Spec {
        slots: 0,
        batch: 64,
        waiting: 1000,
        half_life: Duration::from_secs(150),
    };
    let mut owner = Owner::new(spec, 1, BTreeSet::new());
    let mut number = 0;
    median_us(|| {
        for _ in 0..100 {
            number += 1;
            let request = queue::Request {
                ticket: number,
                entry: "n1#1".to_string(),
                organisation: "o1".to_string(),
                weight: 1,
                model: None,
                class: endivespur_core::config::Class::Draft,
                cost: 100,
                since: Duration::ZERO,
                deadline: Duration::from_secs(10),
                alone: false,
                wait_if_busy: false,
            };
            owner.request(Duration::ZERO, Authority::Full, request);
            owner.end(Duration::ZERO, Authority::Full, 1, number);
        }
    }) / 100.0
}

fn vm_name(node: usize) -> String {
    format!("n{node}")
}

fn node_record(node: usize) -> Node {
    Node {
        incarnation: 1,
        address: format!("10.0.0.{node}:9000"),
        callers: String::new(),
        region: REGION.to_string(),
        zone: format!("z{}", node % ZONES),
        leaving: false,
        keeps_quotas: true,
    }
}

fn adapter_entry(number: usize, revision: u64) -> Entry {
    let value = json!({
        "base": "b", "service": "s", "organisations": [format!("o{}", number % 30)],
        "versions": { "1": "active", "2": "active" },
        "place": { "region": REGION, "zones": [] },
        "change": { "author": "wanjiru", "at": 1_796_000_000, "reason": "weekly rollout" },
    });
    Entry {
        key: format!("adapter/x{number}"),
        revision,
        value: Some(value.to_string()),
    }
}

fn config_entries(size: Size) -> Vec<Entry> {
    let mut entries = Vec::new();
    for organisation in 0..30 {
        let value = json!({ "place": { "region": REGION } }).to_string();
        entries.push(Entry {
            key: format!("organisation/o{organisation}"),
            revision: 1,
            value: Some(value),
        });
    }
    for engine in 0..size.engines {
        let value = json!({
            "kind": "engine", "service": "s", "address": "10.1.0.1:8000", "region": REGION,
            "zone": format!("z{}", engine % ZONES), "slots": 8, "batch": 32, "fenced": true,
        });
        entries.push(Entry {
            key: format!("endpoint/e{engine}"),
            revision: 2,
            value: Some(value.to_string()),
        });
    }
    entries.extend((0..size.adapters).map(|number| adapter_entry(number, 3)));
    entries.push(Entry {
        key: "service/s".to_string(),
        revision: 4,
        value: Some(json!({ "class": "draft" }).to_string()),
    });
    // Only o17 may use x17; the measurement calls as o1, so the entry is replaced to permit o1.
    let mut replaced = adapter_entry(17, 5);
    replaced.value = replaced.value.map(|text| text.replace("\"o17\"", "\"o1\""));
    entries.push(replaced);
    entries
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    // The second field is the number of resident pages of 4096 bytes.
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|f| f.parse::<usize>().ok())
        .unwrap_or(0);
    pages * 4096
}
