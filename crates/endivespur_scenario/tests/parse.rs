//! Tests of the scenario parser.

use std::time::Duration;

use endivespur_scenario::{Action, Operation, Step, StoreFault, parse};

#[test]
fn parse_mistakes_found_together() {
    let text = "vm a on z\nat soon kill a\nat 1s kll a\nexpect r1 ran on\nvm b in z twice\n";
    let findings: Vec<String> = parse(text)
        .expect_err("five faulty lines")
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        findings,
        [
            "1:6: expected in",
            "2:4: expected a time such as 1s or 500ms",
            "3:7: expected request or order or start or kill or pause or resume or stop or store or \
             endpoint or drain or leaving or retire or cut or heal",
            "4:17: expected an endpoint",
            "5:11: expected the end of the line",
        ]
    );
}

#[test]
fn parse_steps_in_order() {
    let scenario = parse("# a comment\nat 1.5s kill a # late\nat 500ms store lose-answers 2\n");
    let step = |at, line, action| Step { at, line, action };
    let scenario = scenario.expect("a valid scenario");
    assert_eq!(
        scenario.steps,
        [
            step(
                Duration::from_millis(1500),
                2,
                Action::Vm(Operation::Kill, "a".to_string())
            ),
            step(
                Duration::from_millis(500),
                3,
                Action::Store(StoreFault::LoseResponses(2))
            ),
        ]
    );
}
