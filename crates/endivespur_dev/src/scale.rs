//! Measures the core's decisions at the target's size: one region of three.

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

/// The region that is measured.
const REGION: &str = "r";
/// Zones of a region.
const ZONES: usize = 3;
/// The sizes: today's, a tenth, and a region of the target.
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

/// The size of a region; each node knows each adapter.
#[derive(Clone, Copy, Debug)]
struct Size {
    nodes: usize,
    engines: usize,
    adapters: usize,
}

/// Measures each decision at each size and prints a table.
pub fn run() {
    println!("| what | {} |", SIZES.map(label).join(" | "));
    println!("|---|{}", "---|".repeat(SIZES.len()));
    let worlds: Vec<World> = SIZES.into_iter().map(World::new).collect();
    row("configuration in memory, MB", &worlds, |w| {
        w.config_bytes as f64 / 1e6
    });
    row("read all configuration, ms", &worlds, |w| w.read_ms);
    row("apply one change, µs", &worlds, World::apply);
    row(
        "look for what is new after a change (peer), µs",
        &worlds,
        World::changes,
    );
    row("choose endpoints for a request, µs", &worlds, World::choose);
    row("ask, grant and end at an owner, µs", &worlds, |_| grant());
    row(
        "one permit with a want from each tenth engine, µs",
        &worlds,
        World::permit,
    );
    row(
        "look for takeovers, nothing lost, µs",
        &worlds,
        World::quiet,
    );
    row("look for takeovers, a zone lost, ms", &worlds, |w| {
        w.zone_lost().0
    });
    row("most endpoints one node takes over then", &worlds, |w| {
        w.zone_lost().1
    });
    row("store calls for all of them", &worlds, |w| w.zone_lost().2);
    row("endpoints without an owner after them", &worlds, |w| {
        w.zone_lost().3
    });
}

fn label(size: Size) -> String {
    format!(
        "{} nodes, {} engines, {} adapters",
        size.nodes, size.engines, size.adapters
    )
}

fn row(name: &str, worlds: &[World], value: impl Fn(&World) -> f64) {
    let cells: Vec<String> = worlds
        .iter()
        .map(|world| {
            let value = value(world);
            if value >= 100.0 {
                format!("{value:.0}")
            } else {
                format!("{value:.2}")
            }
        })
        .collect();
    println!("| {name} | {} |", cells.join(" | "));
}

/// Returns the median time of a call in microseconds.
fn time(mut call: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..31)
        .map(|_| {
            let begun = Instant::now();
            call();
            begun.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

struct World {
    size: Size,
    config: Snapshot,
    table: Table,
    config_bytes: usize,
    read_ms: f64,
}

impl World {
    fn new(size: Size) -> Self {
        let entries = entries(size);
        let before = resident();
        let begun = Instant::now();
        let mut config = Snapshot::default();
        config.replace(1 << 30, entries);
        let read_ms = begun.elapsed().as_secs_f64() * 1e3;
        let config_bytes = resident().saturating_sub(before);
        let mut world = Self {
            size,
            config,
            table: Table::default(),
            config_bytes,
            read_ms,
        };
        for node in 0..size.nodes {
            world.table.set_node(&vm(node), 1, Some(record(node)));
        }
        let names: Vec<String> = (0..size.nodes).map(vm).collect();
        for engine in 0..size.engines {
            let name = format!("e{engine}");
            let owner = hash::winner(&name, names.iter().map(String::as_str));
            let claim = owner.map(|vm| Claim {
                vm: vm.to_string(),
                incarnation: 1,
                address: String::new(),
                released: false,
            });
            world.table.set_owner(&name, 2, claim);
        }
        world
    }

    fn apply(&self) -> f64 {
        let mut config = self.config.clone();
        let mut revision = 1 << 40;
        time(|| {
            revision += 1;
            config.apply(adapter(17, revision));
        })
    }

    fn changes(&self) -> f64 {
        let mut config = self.config.clone();
        config.apply(adapter(17, 1 << 40));
        time(|| {
            std::hint::black_box(config.after((1 << 40) - 1));
        })
    }

    fn choose(&self) -> f64 {
        let request = Request {
            organisation: "o1".to_string(),
            base: Some("b".to_string()),
            service: None,
            model: Some(Model::new("x17", 1)),
            place: None,
        };
        time(|| {
            let none = |_: &str| false;
            let found = route::choose(&self.config, &request, (REGION, "z0"), none, MAX_CANDIDATES);
            std::hint::black_box(found).ok();
        })
    }

    fn permit(&self) -> f64 {
        let limit = Limit {
            interval: Duration::ZERO,
            transit: 1 << 30,
            patience: Duration::from_secs(30),
            timeout: Duration::from_secs(30),
        };
        let mut scheduler = Scheduler::new(limit, Duration::ZERO);
        for engine in 0..self.size.engines.div_ceil(10) {
            let want = Demand {
                model: Model::new(&format!("x{engine}"), 1),
                organisation: format!("o{}", engine % 30),
                class: endivespur_core::config::Class::Draft,
                waiting: 1 + engine % 5,
                since: Duration::from_millis(engine as u64),
                deadline: Duration::from_secs(20),
            };
            scheduler.set("n", &format!("e{engine}"), vec![want]);
        }
        time(|| {
            let Some(entry) = scheduler.permit(Duration::from_secs(10)) else {
                return;
            };
            scheduler.load_ended(&entry.endpoint, &entry.demand.model, true);
            scheduler.set("n", &entry.endpoint, vec![entry.demand]);
        })
    }

    fn takeovers(&self, table: &mut Table, vm: &str, at: Duration) -> usize {
        let wait = TakeoverDelay {
            margin: Duration::from_secs(2),
            ttl: Duration::from_secs(6),
        };
        table.takeovers(&self.config, vm, REGION, at, wait).len()
    }

    fn quiet(&self) -> f64 {
        let mut table = self.table.clone();
        time(|| {
            std::hint::black_box(self.takeovers(&mut table, "n0", Duration::from_secs(100)));
        })
    }

    /// Loses a zone: the time of one node's look, the most endpoints that one node takes
    /// over, the store calls of all nodes, and the endpoints that nobody takes over.
    fn zone_lost(&self) -> (f64, f64, f64, f64) {
        let mut table = self.table.clone();
        for node in (0..self.size.nodes).filter(|node| node % ZONES == 0) {
            table.set_node(&vm(node), 3, None);
        }
        self.takeovers(&mut table, "n1", Duration::from_secs(10));
        let at = Duration::from_secs(20);
        let look = time(|| {
            std::hint::black_box(self.takeovers(&mut table, "n1", at));
        });
        let mut taken: BTreeMap<usize, usize> = BTreeMap::new();
        for node in (0..self.size.nodes).filter(|node| node % ZONES != 0) {
            taken.insert(node, self.takeovers(&mut table, &vm(node), at));
        }
        let lost = (0..self.size.engines).filter(|engine| {
            let name = format!("e{engine}");
            let owner = self.table.owner(&name).map(|(_, claim)| claim.vm.clone());
            owner
                .and_then(|vm| vm[1..].parse::<usize>().ok())
                .is_some_and(|n| n % ZONES == 0)
        });
        let calls: usize = taken.values().map(|count| count.div_ceil(64)).sum();
        let sum: usize = taken.values().sum();
        let most = taken.values().max().copied().unwrap_or(0);
        let unowned = lost.count().saturating_sub(sum);
        (look / 1e3, most as f64, calls as f64, unowned as f64)
    }
}

fn grant() -> f64 {
    let spec = Spec {
        slots: 0,
        batch: 64,
        waiting: 1000,
        half_life: Duration::from_secs(150),
    };
    let mut owner = Owner::new(spec, 1, BTreeSet::new());
    let mut number = 0;
    time(|| {
        for _ in 0..100 {
            number += 1;
            let ask = queue::Request {
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
                patient: false,
            };
            owner.request(Duration::ZERO, Authority::Full, ask);
            owner.end(Duration::ZERO, Authority::Full, 1, number);
        }
    }) / 100.0
}

fn vm(node: usize) -> String {
    format!("n{node}")
}

fn record(node: usize) -> Node {
    Node {
        incarnation: 1,
        address: format!("10.0.0.{node}:9000"),
        callers: String::new(),
        region: REGION.to_string(),
        zone: format!("z{}", node % ZONES),
        leaving: false,
    }
}

fn adapter(number: usize, revision: u64) -> Entry {
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

fn entries(size: Size) -> Vec<Entry> {
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
    entries.extend((0..size.adapters).map(|number| adapter(number, 3)));
    entries.push(Entry {
        key: "service/s".to_string(),
        revision: 4,
        value: Some(json!({ "class": "draft" }).to_string()),
    });
    // x17 may be named by o17 only; o1 is let in for the measurement.
    let mut open = adapter(17, 5);
    open.value = open.value.map(|text| text.replace("\"o17\"", "\"o1\""));
    entries.push(open);
    entries
}

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|f| f.parse::<usize>().ok())
        .unwrap_or(0);
    pages * 4096
}
