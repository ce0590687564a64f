//! The quotas of teams at this gateway, and the teams that it refuses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::quota::Excess;
use endivespur_core::gateway::quota::tracker::Tracker;
use endivespur_core::id::Team;
use endivespur_platform::settings::Settings;
use log::info;
use smol::lock::Mutex;

/// For how long a team must not be refused before that is logged as the end of its refusals.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// The refusals of one team at this gateway.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    since: Time,
    last: Time,
    count: u64,
}

/// The quotas of teams.
pub struct Quotas {
    /// The decisions.
    pub tracker: RefCell<Tracker>,
    /// Held by the request of each team that borrows: the others use what it gets.
    borrowing: RefCell<BTreeMap<Team, Rc<Mutex<()>>>>,
    refusals: RefCell<BTreeMap<Team, Refusals>>,
}

impl Quotas {
    /// Creates the quotas of a gateway that starts now, before there is a configuration.
    pub fn new(settings: &Settings) -> Self {
        let excess = Excess {
            window: settings.quota_window,
            ratio: settings.quota_excess_ratio,
            tokens: settings.quota_excess,
        };
        let tracker = Tracker::new(clock::now(), &settings.vm, excess, settings.is_first_start);
        Self {
            tracker: RefCell::new(tracker),
            borrowing: RefCell::new(BTreeMap::new()),
            refusals: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns the lock of a team, held while its loans are borrowed.
    pub fn lock(&self, team: &str) -> Rc<Mutex<()>> {
        let mut borrowing = self.borrowing.borrow_mut();
        borrowing.entry(team.to_string()).or_default().clone()
    }

    /// Records a refusal, and logs the first one.
    pub fn refused(&self, now: Time, team: &str, amount: u64, wait: Duration) {
        let mut all = self.refusals.borrow_mut();
        let refusals = all.entry(team.to_string()).or_insert_with(|| {
            info!(
                event = "quota", team, state = "refused", amount, wait_ms = wait.as_millis() as u64;
                "over the quota"
            );
            Refusals {
                since: now,
                last: now,
                count: 0,
            }
        });
        refusals.last = now;
        refusals.count += 1;
    }

    /// Logs the teams that are no longer refused.
    pub fn check_refusals(&self, now: Time) {
        self.refusals.borrow_mut().retain(|team, refusals| {
            let is_refused = now < refusals.last + REFUSAL_TIME;
            if !is_refused {
                let lasted = refusals.last.saturating_sub(refusals.since);
                info!(
                    event = "quota", team = team.as_str(), state = "admitted", refused = refusals.count,
                    lasted_ms = lasted.as_millis() as u64; "no longer over the quota"
                );
            }
            is_refused
        });
    }
}
