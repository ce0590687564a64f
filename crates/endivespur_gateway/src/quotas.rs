//! The quotas of teams at this gateway, and the teams that it refuses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::quota::Excess;
use endivespur_core::gateway::quota::tracker::Tracker;
use endivespur_core::gateway::team::Teams;
use endivespur_core::id::Team;
use endivespur_platform::settings::Settings;
use event_listener::{Event, EventListener};
use log::info;

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
    /// Notified when requests of a team that wait may find an amount.
    changed: RefCell<BTreeMap<Team, Event>>,
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
            changed: RefCell::new(BTreeMap::new()),
            refusals: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns a listener that is notified when a request of a team that waits may find an amount.
    pub fn listen(&self, team: &str) -> EventListener {
        let mut changed = self.changed.borrow_mut();
        changed.entry(team.to_string()).or_default().listen()
    }

    /// Notifies the requests of a team that wait.
    pub fn notify(&self, team: &str) {
        if let Some(changed) = self.changed.borrow().get(team) {
            changed.notify(usize::MAX);
        }
    }

    /// Takes over the quotas of a configuration, and forgets teams that are no longer in it.
    pub fn configure(&self, now: Time, version: u64, teams: Option<&Teams>) {
        self.tracker.borrow_mut().configure(now, version, teams);
        self.changed.borrow_mut().retain(|team, changed| {
            let is_kept = teams.is_some_and(|teams| teams.get(team).is_some());
            if !is_kept {
                changed.notify(usize::MAX);
            }
            is_kept
        });
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
