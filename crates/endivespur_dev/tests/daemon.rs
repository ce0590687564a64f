//! Tests of daemons as separate processes: bad input, operators' statements, settings.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

use endivespur_core::gateway::team;
use endivespur_dev::call::call;
use endivespur_dev::process;
use endivespur_dev::site::{EndpointSpec, Site};
use http_types::Method;
use serde_json::{Value, json};

/// The maximum time until an accepted change is in force on all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(7);
/// The maximum time until each endpoint has an owner.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_secs(20);

fn start_site(name: &str) -> Site {
    let specs = vec![
        EndpointSpec::engine("e1", "za"),
        EndpointSpec::engine("e2", "zb"),
        EndpointSpec::plain("p1", "za", "orders"),
    ];
    let mut site = Site::start(name, &["za", "zb"], specs).expect("emulators");
    site.write_organisation("o").expect("written");
    site.write_organisation("stranger").expect("written");
    site.write_adapter("hymns", "o", &[]).expect("written");
    site.write_adapter("local", "o", &["zb"]).expect("written");
    site.write_services().expect("written");
    site.start_daemon("a", "za").expect("started");
    site.start_daemon("b", "zb").expect("started");
    site.wait_until_owned(OWNERSHIP_TIMEOUT).expect("owned");
    site.wait_until_ready(OWNERSHIP_TIMEOUT).expect("ready");
    site
}

/// Sends raw bytes and returns everything received until the connection closes.
fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    stream.write_all(bytes).ok();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok();
    String::from_utf8_lossy(&response).to_string()
}

#[test]
fn callers_bad_input_clear_answers() {
    let site = start_site("bad-input");
    let address = site.daemons["a"].callers.clone();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nendivespur-organisation: o\r\n";
    let both_lengths =
        format!("{head}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n");
    for bytes in ["garbage\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", &both_lengths] {
        let response = send_raw(&address, bytes.as_bytes());
        assert!(
            response.starts_with("HTTP/1.1 400"),
            "{bytes:?}: {response:?}"
        );
        assert!(response.contains("not-run"), "{response:?}");
    }
    let oversized_head = send_raw(&address, &vec![b'x'; 4 << 20]);
    assert!(
        oversized_head.is_empty() || oversized_head.starts_with("HTTP/1.1 4"),
        "{oversized_head:?}"
    );
    let cases: [(&str, &str, Value, u16); 7] = [
        ("o", "hymnal/nothing@1", json!({}), 404),
        ("o", "hymnal/hymns@7", json!({}), 404),
        ("o", "other/hymns@1", json!({}), 404),
        ("o", "hymns", json!({}), 400),
        ("nobody", "hymnal/hymns@1", json!({}), 401),
        ("stranger", "hymnal/hymns@1", json!({}), 403),
        ("o", "hymnal/local@1", json!({}), 421),
    ];
    for (organisation, model, options, status) in cases {
        let response = site.complete("a", organisation, model, &options);
        assert_eq!(
            (response.status, response.outcome()),
            (status, "not-run"),
            "{model}"
        );
        assert!(response.text().contains("\"error\""), "{}", response.text());
    }
    let large = json!({ "prompt": "x".repeat(2 << 20) });
    assert_eq!(
        site.complete("a", "o", "hymnal/hymns@1", &large).status,
        413
    );
    let headers = [("endivespur-organisation", "o")];
    let keyless = site.call(
        "a",
        Method::Post,
        "/services/orders/confirm",
        &headers,
        Some(&json!({})),
    );
    assert_eq!((keyless.status, keyless.outcome()), (400, "not-run"));
    let keyed = [("endivespur-organisation", "o"), ("idempotency-key", "k")];
    let confirm = |value: &Value| {
        site.call(
            "a",
            Method::Post,
            "/services/orders/confirm",
            &keyed,
            Some(value),
        )
    };
    assert_eq!(confirm(&json!({ "boards": 1 })).status, 200);
    assert_eq!(
        confirm(&json!({ "boards": 2 })).status,
        422,
        "the key belongs to another call"
    );
    assert_eq!(
        site.complete("a", "o", "hymnal/hymns@1", &json!({})).status,
        200
    );
}

#[test]
fn callers_slow_body_answered_and_others_served() {
    let site = start_site("slow-body");
    let address = site.daemons["a"].callers.clone();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nendivespur-organisation: o\r\ncontent-length: 900\r\n\r\n{";
    let slow: Vec<TcpStream> = (0..200)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(&address).ok()?;
            stream.write_all(head.as_bytes()).ok()?;
            Some(stream)
        })
        .collect();
    let started = Instant::now();
    let response = site.complete("a", "o", "hymnal/hymns@1", &json!({}));
    assert_eq!(response.status, 200);
    assert!(started.elapsed() < Duration::from_secs(5));
    let mut first = slow.into_iter().next().expect("a connection");
    first
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    let mut text = String::new();
    first.read_to_string(&mut text).ok();
    assert!(text.starts_with("HTTP/1.1 408"), "{text:?}");
}

/// The bodies of many callers together used up the memory; callers with small bodies must be served beside them, and the
/// rest of a refused body must not be read as another request.
#[test]
fn callers_bodies_together_bounded() {
    let mut site = start_site("bodies");
    site.limits = json!({ "body": "64KiB", "bodies": "256KiB" });
    site.start_daemon("c", "za").expect("started");
    site.wait_until_ready(OWNERSHIP_TIMEOUT).expect("ready");
    let address = site.daemons["c"].callers.clone();
    let stall = || {
        let mut stream = TcpStream::connect(&address).expect("connected");
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nendivespur-organisation: o\r\n\
                    content-length: 65000\r\n\r\n";
        let message = format!("{head}{}", "\r\n".repeat(31_000));
        stream.write_all(message.as_bytes()).expect("sent");
        let timeout = Some(Duration::from_millis(200));
        stream.set_read_timeout(timeout).expect("set");
        let mut text = [0; 4096];
        let count = stream.read(&mut text).unwrap_or_default();
        let response = String::from_utf8_lossy(&text[..count]).to_string();
        (stream, response)
    };
    let (streams, responses): (Vec<_>, Vec<_>) = (0..8).map(|_| stall()).unzip();
    for (number, response) in responses.iter().enumerate() {
        let is_refused = response.starts_with("HTTP/1.1 503") && response.contains("retry-after");
        assert_eq!(is_refused, number >= 4, "{number}: {response:?}");
    }
    for mut stream in &streams[4..] {
        let rest = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(rest.as_bytes()).ok();
        let mut text = String::new();
        stream.read_to_string(&mut text).ok();
        assert!(!text.contains("HTTP/1.1"), "{text:?}");
    }
    let is_served =
        |fields: &Value| site.complete("c", "o", "hymnal/hymns@1", fields).status == 200;
    assert!(is_served(&json!({})));
    drop(streams);
    let deadline = Instant::now() + Duration::from_secs(5);
    while !is_served(&json!({ "user": "x".repeat(60_000) })) {
        assert!(Instant::now() < deadline, "not released");
    }
}

/// A daemon that has not read its first configuration refused proper callers as unknown, for good.
#[test]
fn callers_before_first_configuration() {
    let mut site = Site::start("first-configuration", &["za"], Vec::new()).expect("emulators");
    site.write_organisation("o").expect("written");
    site.add_relay("a").expect("started");
    site.set_partitioned("a", true).expect("cut");
    site.start_daemon("a", "za").expect("started");
    let headers = [("endivespur-organisation", "o")];
    let response = site.call("a", Method::Get, "/v1/models", &headers, None);
    assert_eq!(response.status, 503, "{}", response.text());
}

#[test]
fn models_only_own_adapters() {
    let site = start_site("models");
    for path in ["/healthz", "/readyz"] {
        assert_eq!(
            site.call("a", Method::Get, path, &[], None).status,
            200,
            "{path}"
        );
    }
    let list = |organisation| {
        let headers = [("endivespur-organisation", organisation)];
        site.call("b", Method::Get, "/v1/models", &headers, None)
    };
    assert!(list("o").text().contains("hymnal/hymns@2"));
    assert!(!list("stranger").text().contains("hymns"));
}

#[test]
fn chat_streamed_and_whole() {
    let site = start_site("chat");
    let headers = [("endivespur-organisation", "o")];
    let complete = |stream: bool| {
        let payload = json!({
            "model": "hymnal/hymns@2", "stream": stream, "max_tokens": 4,
            "messages": [{ "role": "user", "content": "draft" }],
        });
        site.call(
            "a",
            Method::Post,
            "/v1/chat/completions",
            &headers,
            Some(&payload),
        )
    };
    let whole = complete(false);
    assert!(
        whole.text().contains("\"role\":\"assistant\""),
        "{}",
        whole.text()
    );
    assert!(
        whole.text().contains("\"model\":\"hymnal/hymns@2\""),
        "{}",
        whole.text()
    );
    let streamed = complete(true);
    assert!(streamed.text().contains("\"delta\""), "{}", streamed.text());
    assert!(
        streamed.text().trim_end().ends_with("data: [DONE]"),
        "{}",
        streamed.text()
    );
}

#[test]
fn tokens_needed_on_each_side() {
    let mut site =
        Site::start("tokens", &["za"], vec![EndpointSpec::engine("e1", "za")]).expect("emulators");
    site.write_organisation("o").expect("written");
    site.write_organisation("stranger").expect("written");
    site.write_adapter("hymns", "o", &[]).expect("written");
    site.write_services().expect("written");
    site.requires_tokens = true;
    site.start_daemon("a", "za").expect("started");
    site.start_daemon("b", "za").expect("started");
    let payload = json!({ "model": "hymnal/hymns@1", "prompt": "x", "max_tokens": 2 });
    let complete = |daemon, token: &str| {
        let bearer = format!("Bearer {token}");
        // Where tokens are required, the organisation header is ignored.
        let headers = [
            ("authorization", bearer.as_str()),
            ("endivespur-organisation", "o"),
        ];
        site.call(
            daemon,
            Method::Post,
            "/v1/completions",
            &headers,
            Some(&payload),
        )
        .status
    };
    let started = Instant::now();
    while complete("a", "caller-o") != 200 || complete("b", "caller-o") != 200 {
        assert!(
            started.elapsed() < OWNERSHIP_TIMEOUT,
            "not served through both daemons"
        );
    }
    assert_eq!(
        (complete("a", "wrong"), complete("a", "caller-stranger")),
        (401, 403)
    );
    assert_eq!(run_ctl(&site, "a", &["show nodes"]).0, 1);
    let secret = std::env::temp_dir().join(format!("endivespur-operator-{}", std::process::id()));
    std::fs::write(&secret, "operator").expect("written");
    let secret = secret.display().to_string();
    let (code, text) = run_ctl(&site, "a", &["--token-file", &secret, "show nodes"]);
    let (_, organisations) = run_ctl(&site, "a", &["--token-file", &secret, "show organisations"]);
    std::fs::remove_file(&secret).ok();
    assert!(code == 0 && text.contains("2 rows"), "{text}");
    assert!(
        organisations.contains(&team::digest("caller-o")),
        "{organisations}"
    );
    assert!(!organisations.contains("caller-"), "{organisations}");
    let log = std::fs::read_to_string(&site.daemons["a"].log).expect("readable");
    assert!(
        log.contains("unauthorized") && log.contains(&team::digest("wrong")),
        "{log}"
    );
    for daemon in site.daemons.values() {
        let log = std::fs::read_to_string(&daemon.log).expect("readable");
        assert!(
            !log.contains("caller-o") && !log.contains("draft"),
            "a secret was logged"
        );
    }
}

fn run_ctl(site: &Site, daemon: &str, arguments: &[&str]) -> (i32, String) {
    let tool = process::build().expect("built").join("endivespurctl");
    let output = Command::new(tool)
        .args([
            "--address",
            &site.daemons[daemon].operators,
            "--author",
            "wanjiru",
        ])
        .args(arguments)
        .output()
        .expect("run");
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap_or(-1), text.to_string())
}

#[test]
fn operators_statements_take_effect_everywhere() {
    let site = start_site("operators");
    let (code, text) = run_ctl(
        &site,
        "a",
        &["--wait", "drain", "e1", "because", "new disk"],
    );
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("in force on 2 of 2 nodes"), "{text}");
    let (_, text) = run_ctl(&site, "b", &["show endpoints where drained = true"]);
    assert!(
        text.contains("wanjiru") && text.contains("new disk"),
        "{text}"
    );
    let (_, text) = run_ctl(&site, "b", &["explain", "hymns@1", "for", "o"]);
    assert!(text.contains("leaving or drained"), "{text}");
    let (code, text) = run_ctl(&site, "a", &["drain", "e1"]);
    assert!(code == 0 && text.contains("already so"), "{text}");
    let (code, text) = run_ctl(&site, "a", &["retire hymns@1 if revision 1"]);
    assert!(code == 3 && text.contains("not 1"), "{text}");
    let (code, text) = run_ctl(&site, "a", &["shw adapters"]);
    assert!(code == 2 && text.contains("1:1: expected show"), "{text}");
    let (code, text) = run_ctl(
        &site,
        "b",
        &["--dry-run", "place adapter hymns in nairobi/za"],
    );
    assert!(code == 0 && text.contains("would change"), "{text}");
    let (code, text) = run_ctl(&site, "b", &["--wait", "place adapter hymns in nairobi/zb"]);
    assert_eq!(code, 0, "{text}");
    let refused = site.complete("a", "o", "hymnal/hymns@1", &json!({}));
    assert_eq!(
        refused.status, 421,
        "the entry's zone is no longer permitted"
    );
    let served = site.complete("b", "o", "hymnal/hymns@1", &json!({}));
    assert_eq!(
        (served.status, served.header("endivespur-endpoint")),
        (200, "e2")
    );
    let (_, text) = run_ctl(&site, "a", &["report", "burn"]);
    assert!(
        text.contains("availability") && text.contains("load-stall"),
        "{text}"
    );
    let (_, text) = run_ctl(&site, "a", &["--output", "json", "show nodes"]);
    let rows: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(rows["results"][0]["rows"].as_array().map(Vec::len), Some(2));
}

#[test]
fn operators_lost_answer_settled_and_in_force() {
    let site = start_site("lost-answer");
    site.post_switch(&site.store, &json!({ "lose_answers": 1 }))
        .expect("switched");
    let started = Instant::now();
    let (code, text) = run_ctl(&site, "a", &["--wait", "retire hymns@1"]);
    assert!(code == 0 && text.contains("accepted at revision"), "{text}");
    assert!(text.contains("in force on 2 of 2 nodes"), "{text}");
    assert!(
        started.elapsed() < PROPAGATION_LIMIT,
        "{:?}",
        started.elapsed()
    );
    for daemon in ["a", "b"] {
        assert_eq!(
            site.complete(daemon, "o", "hymnal/hymns@1", &json!({}))
                .status,
            404
        );
    }
    let (code, text) = run_ctl(&site, "b", &["retire hymns@1"]);
    assert!(code == 0 && text.contains("already so"), "{text}");
}

#[test]
fn operators_race_one_accepted() {
    let site = start_site("race");
    let (a, b) = std::thread::scope(|scope| {
        let a = scope.spawn(|| {
            run_ctl(
                &site,
                "a",
                &["place adapter hymns in nairobi/za because first"],
            )
        });
        let b = scope.spawn(|| {
            run_ctl(
                &site,
                "b",
                &["place adapter hymns in nairobi/zb because second"],
            )
        });
        (a.join().expect("joined"), b.join().expect("joined"))
    });
    // Both may be accepted, one after the other; a statement that loses the race must report it.
    let lost = [&a, &b].iter().filter(|(code, _)| *code == 3).count();
    assert!(lost <= 1, "{a:?} {b:?}");
    for (code, text) in [&a, &b] {
        assert!(
            *code == 0 || text.contains("lost against wanjiru"),
            "{text}"
        );
    }
    let (_, text) = run_ctl(
        &site,
        "a",
        &["--output", "json", "show rules where name = hymns"],
    );
    let accepted = if a.0 == 3 { "zb" } else { "za" };
    assert!(lost == 0 || text.contains(accepted), "{text}");
}

/// Calls a plain service for an organisation; returns the status, and the time to retry of a refusal.
fn call_limited(site: &Site, daemon: &str, organisation: &str) -> (u16, f64) {
    let headers = [("endivespur-organisation", organisation)];
    let response = site.call(daemon, Method::Get, "/services/orders/x", &headers, None);
    if response.status == 429 {
        assert_eq!(response.outcome(), "not-run");
    }
    let retry_after = response.header("retry-after").parse();
    (response.status, retry_after.unwrap_or_default())
}

/// Calls without pause for a time, with two callers at each daemon; returns how many were served and refused.
fn exhaust_quota(site: &Site, daemons: &[&str], time: Duration) -> (u32, u32) {
    let started = Instant::now();
    let exhaust = |daemon| {
        let mut counts = (0, 0);
        while started.elapsed() < time {
            match call_limited(site, daemon, "o") {
                (200, _) => counts.0 += 1,
                (429, wait) if wait > 0.0 && wait < 2.0 => counts.1 += 1,
                other => panic!("{daemon}: {other:?}"),
            }
        }
        counts
    };
    std::thread::scope(|scope| {
        let twice = daemons.iter().chain(daemons);
        let callers = twice.map(|daemon| scope.spawn(move || exhaust(*daemon)));
        let callers: Vec<_> = callers.collect();
        let counts = callers
            .into_iter()
            .map(|caller| caller.join().expect("joined"));
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    })
}

/// Calls five times a second, a quarter of the quota, in turn at the daemons; returns how many were served.
///
/// # Panics
///
/// Panics if a call is refused for the quota. Calls may fail for other reasons, as while an endpoint has no owner.
fn use_quarter(site: &Site, daemons: &[&str], seconds: usize) -> usize {
    let calls = (0..seconds * 5).map(|number| {
        let daemon = daemons[number % daemons.len()];
        let status = call_limited(site, daemon, "o").0;
        assert_ne!(status, 429, "call {number} to {daemon}");
        std::thread::sleep(Duration::from_millis(200));
        status
    });
    calls.filter(|status| *status == 200).count()
}

const LIMIT: &str = "limit organisation o quota 20 per second burst 20 in requests";

/// Starts a site, and sets the quota once no daemon has just started.
fn start_limited(name: &str) -> Site {
    let site = start_site(name);
    std::thread::sleep(Duration::from_secs(5));
    let (code, text) = run_ctl(&site, "a", &["--wait", LIMIT]);
    assert!(code == 0 && text.contains("in force on 2 of 2"), "{text}");
    site
}

// Guards against a quota that each node grants anew, and against one that others are refused by.
#[test]
fn quota_over_all_nodes_and_shown() {
    let site = start_limited("quota");
    let (served, refused) = exhaust_quota(&site, &["a", "b"], Duration::from_secs(3));
    // The burst, 3 s of the rate, and the permitted excess in 8 s.
    assert!(
        (64..=98).contains(&served) && refused > 0,
        "{served} served, {refused} refused"
    );
    assert_eq!(call_limited(&site, "a", "stranger").0, 200);
    // Asked without the tool: its build may have to wait for other builds, while what was used counts for 10 s.
    let text = json!({ "text": "show organisations where name = o" });
    let operators = &site.daemons["b"].operators;
    let rows = smol::block_on(call(
        operators,
        Method::Post,
        "/statements",
        &[],
        Some(&text),
    ));
    let rows: Value = serde_json::from_str(rows.text()).expect("JSON");
    let row = &rows["results"][0]["rows"][0];
    assert_eq!(row["limit"], "20/s burst 20 requests");
    assert_eq!(row["refused_1m"].as_u64(), Some(u64::from(refused)));
    assert!(
        row["used_per_s"].as_f64().is_some_and(|used| used > 5.0),
        "{row}"
    );
    for daemon in site.daemons.values() {
        let log = std::fs::read_to_string(&daemon.log).expect("readable");
        assert!(log.contains("over the quota"), "{log}");
        assert!(log.contains(r#""reason":"quota""#), "{log}");
    }
    let (status, wait) = call_limited(&site, "b", "o");
    std::thread::sleep(endivespur_core::clock::from_secs(wait));
    assert_eq!(
        call_limited(&site, "b", "o").0,
        200,
        "the time to retry was too short: {wait} s after status {status}"
    );
    // Tokens count, and a repeated call is answered from its record, since it does not run again.
    let small = "limit organisation o quota 10 per second burst 100 in tokens";
    assert_eq!(run_ctl(&site, "a", &["--wait", small]).0, 3);
    let tokens = "limit organisation o quota 20 per second burst 300 in tokens plain 240";
    assert_eq!(run_ctl(&site, "a", &["--wait", tokens]).0, 0);
    std::thread::sleep(Duration::from_secs(11));
    let confirm = |key| {
        let headers = [("endivespur-organisation", "o"), ("idempotency-key", key)];
        site.call(
            "a",
            Method::Post,
            "/services/orders/confirm",
            &headers,
            Some(&json!({})),
        )
        .status
    };
    assert_eq!(confirm("first"), 200);
    let completed =
        (0..9).take_while(|_| site.complete("b", "o", "hymnal/hymns@1", &json!({})).status == 200);
    assert!((1..=3).contains(&completed.count()));
    assert_eq!((confirm("second"), confirm("first")), (429, 200));
    // A node of an older build would not keep to quotas.
    let store = endivespur_net::store::Client::new(&site.store, Duration::from_secs(1));
    let old = json!({ "incarnation": 1, "address": "127.0.0.1:1", "callers": "127.0.0.1:1",
                      "region": "nairobi", "zone": "za" });
    let old = endivespur_net::store::Write::new("endivespur/nodes/old", &old.to_string());
    smol::block_on(store.write_one(old)).expect("written");
    std::thread::sleep(Duration::from_secs(1));
    let (code, text) = run_ctl(
        &site,
        "a",
        &["limit organisation q quota 0 per second burst 1 in requests"],
    );
    assert_eq!(code, 3, "{text}");
    for finding in [
        "node old is of an older build",
        "no organisation q",
        "the rate of a quota",
    ] {
        assert!(text.contains(finding), "{finding} is missing in:\n{text}");
    }
}

// Guards against refusals below the quota after nodes were lost, started again, or are cut off from the store.
#[test]
fn quota_below_limit_served_through_failures() {
    let mut site = start_limited("quota-failures");
    let mut served = vec![use_quarter(&site, &["a", "b"], 2)];
    site.daemons.remove("a");
    served.push(use_quarter(&site, &["b"], 10));
    site.start_daemon("a", "za").expect("started");
    site.wait_until_ready(OWNERSHIP_TIMEOUT).expect("ready");
    served.push(use_quarter(&site, &["a", "b"], 5));
    let set_outage = |is_out: bool| {
        site.post_switch(&site.store, &json!({ "outage": is_out }))
            .expect("switched");
    };
    set_outage(true);
    served.push(use_quarter(&site, &["a", "b"], 6));
    set_outage(false);
    served.push(use_quarter(&site, &["a", "b"], 6));
    site.daemons.clear();
    site.start_daemon("a", "za").expect("started");
    site.start_daemon("b", "zb").expect("started");
    site.wait_until_ready(OWNERSHIP_TIMEOUT).expect("ready");
    site.wait_until_owned(OWNERSHIP_TIMEOUT).expect("owned");
    served.push(use_quarter(&site, &["a", "b"], 5));
    assert!(served.iter().sum::<usize>() > 100, "{served:?}");
    // What does not run is not charged.
    site.emulators.remove("p1");
    for number in 0..60 {
        assert_eq!(call_limited(&site, "a", "o").0, 503, "call {number}");
    }
}

/// Starts three daemons with a quota, of which `a` can be cut off from the store.
fn start_three_limited(name: &str) -> Site {
    let specs = vec![EndpointSpec::plain("p1", "za", "orders")];
    let mut site = Site::start(name, &["za"], specs).expect("emulators");
    site.write_organisation("o").expect("written");
    site.write_services().expect("written");
    site.add_relay("a").expect("started");
    for daemon in ["a", "b", "c"] {
        site.start_daemon(daemon, "za").expect("started");
    }
    site.wait_until_owned(OWNERSHIP_TIMEOUT).expect("owned");
    std::thread::sleep(Duration::from_secs(5));
    let (code, text) = run_ctl(&site, "b", &["--wait", LIMIT]);
    assert!(code == 0 && text.contains("in force on 3 of 3"), "{text}");
    site
}

// Guards against shards that a node cut off from the store goes on lending after others have taken them over.
#[test]
fn quota_holds_while_node_cut_off() {
    let site = start_three_limited("quota-cut");
    site.set_partitioned("a", true).expect("cut");
    let (served, _) = exhaust_quota(&site, &["a", "b", "c"], Duration::from_secs(13));
    // The capacity, 13 s of the rate, and the allowance without keepers in two windows. A third of the shards, lent
    // twice from the sixth second on, would add 46.
    assert!((200..=298).contains(&served), "{served} served");
}

// Guards against shards that a daemon goes on lending after another one under its name has replaced it.
#[test]
fn quota_holds_while_daemon_replaced() {
    let mut site = start_three_limited("quota-replaced");
    let former = site.daemons.remove("a").expect("a daemon");
    site.start_daemon("a", "za").expect("started");
    site.daemons.insert("former".to_string(), former);
    std::thread::sleep(Duration::from_secs(2));
    let (served, _) = exhaust_quota(&site, &["a", "b", "c", "former"], Duration::from_secs(13));
    assert!((200..=298).contains(&served), "{served} served");
}

fn check_settings(settings: &Value) -> (i32, String) {
    let bin = process::build().expect("built");
    let path = std::env::temp_dir().join(format!(
        "endivespur-{}-{:p}.json",
        std::process::id(),
        settings
    ));
    std::fs::write(&path, settings.to_string()).expect("written");
    let output = Command::new(bin.join("endivespurd"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .expect("run");
    std::fs::remove_file(&path).ok();
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stderr).to_string(),
    )
}

#[test]
fn settings_findings_together() {
    let settings = json!({
        "vm": "a", "region": "r", "zone": "nowhere", "zones": ["za"], "colour": "red",
        "listen": { "callers": "0.0.0.0:0", "operators": "127.0.0.1:0" },
        "store": { "address": "127.0.0.1:2379", "timeout": "5 parsecs" },
        "lease": { "ttl": "3s", "renew": "2s" },
        "limits": { "body": "12" },
    });
    let (code, text) = check_settings(&settings);
    assert_eq!(code, 2);
    let expected = [
        "colour: unknown field",
        "listen: missing field `nodes`",
        "store.timeout: \"5 parsecs\" is no duration",
        "limits.body: \"12\" lacks a unit",
        "zone: \"nowhere\" is not one of zones",
        "lease.renew: must be at most half of lease.ttl",
        "listen.callers: 0.0.0.0:0 is no loopback address and tokens.callers is not set",
    ];
    for finding in expected {
        assert!(text.contains(finding), "{finding} is missing in:\n{text}");
    }
    assert!(text.contains("7 findings"), "{text}");
}

#[test]
fn settings_address_in_use_found_at_start() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("address").to_string();
    let settings = json!({
        "vm": "a", "region": "r", "zone": "za", "zones": ["za"],
        "listen": { "callers": address, "operators": address, "nodes": "127.0.0.1:0" },
        "store": { "address": "127.0.0.1:2379" },
        "tokens": { "operators": { "env": "ENDIVESPUR_NO_SUCH_VARIABLE" } },
    });
    let bin = process::build().expect("built");
    let path = std::env::temp_dir().join(format!("endivespur-in-use-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).expect("written");
    let output = Command::new(bin.join("endivespurd"))
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("run");
    std::fs::remove_file(&path).ok();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for place in [
        "listen.callers: ",
        "listen.operators: ",
        "tokens.operators: ",
    ] {
        assert!(text.contains(place), "{place} is missing in:\n{text}");
    }
}
