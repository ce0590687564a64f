//! The quotas of all teams at one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use super::contact::Contact;
use super::keeper::{Keeper, Loan, Start};
use super::members::Members;
use super::wallet::{Inquiry, Part, Step, Wallet};
use super::{Excess, SETTLE_TIME, Terms, keepers};
use crate::clock::Time;
use crate::gateway::team::Teams;
use crate::hash;
use crate::id::{Team, Vm};

/// The time between two revisions of the members if the known gateways do not change: it takes time in large fleets.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(250);

/// How long after its start a gateway may resume lending by its first view of the others: long enough to read the store
/// and the configuration, shorter than the time in which others could take its shards over.
const RESUME_TIME: Duration = Duration::from_secs(1);

/// One team with a quota.
#[derive(Clone, Debug)]
struct Entry {
    terms: Terms,
    /// The keepers of its shards.
    keepers: Vec<Vm>,
    keeper: Keeper,
    wallet: Wallet,
}

/// The quotas of all teams at one gateway.
#[derive(Clone, Debug)]
pub struct Tracker {
    vm: Vm,
    excess: Excess,
    /// Until when the whole system starts for the first time.
    first_start_end: Option<Time>,
    /// Until when the shards that this gateway keeps by its first view of the others are lent at once: nobody has taken
    /// them over from its former process.
    resume_end: Option<Time>,
    /// Whether the view of the others has changed since the first one.
    has_changed_view: bool,
    /// The version of the configuration, once there is one.
    version: Option<u64>,
    teams: BTreeMap<Team, Entry>,
    /// The known gateways, this one included.
    vms: Vec<Vm>,
    others: Vec<Vm>,
    contact: Contact,
    /// Whether the known gateways may be relied on.
    is_valid: bool,
    members: Members,
    members_revised_at: Time,
    /// Whether shards of lost gateways may be taken over.
    has_majority: bool,
}

impl Tracker {
    /// Creates the tracker of a gateway that starts now.
    pub fn new(now: Time, vm: &str, excess: Excess, is_first_start: bool) -> Self {
        Self {
            vm: vm.to_string(),
            excess,
            first_start_end: is_first_start.then(|| now + SETTLE_TIME),
            resume_end: None,
            has_changed_view: false,
            version: None,
            teams: BTreeMap::new(),
            vms: Vec::new(),
            others: Vec::new(),
            contact: Contact::new(),
            is_valid: true,
            members: Members::new(now),
            members_revised_at: now,
            has_majority: true,
        }
    }

    /// Records that the record of this gateway's former process had not ended when this one started. Others take shards
    /// over only some time after a record has ended, and the former process lends no more.
    ///
    /// Without this, no gateway would lend for [`SETTLE_TIME`] after all had been restarted at once.
    pub fn resume(&mut self, now: Time) {
        if self.has_changed_view {
            return;
        }
        self.resume_end = Some(now + RESUME_TIME);
        self.assign_teams(now);
    }

    /// Returns whether no team has a quota.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns whether any gateway is known, as this one itself some time after its start.
    pub fn knows_gateways(&self) -> bool {
        !self.vms.is_empty()
    }

    /// Returns the version of the configuration whose quotas are in force here.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Takes over the quotas of a configuration.
    pub fn configure(&mut self, now: Time, version: u64, all: Option<&Teams>) {
        let quotas = all.into_iter().flat_map(Teams::iter);
        let quotas = quotas.filter_map(|(name, team)| Some((name, team.quota?)));
        let mut before = std::mem::take(&mut self.teams);
        if before.is_empty() {
            // Nothing was checked without quotas.
            self.contact = Contact::new();
            self.members = Members::new(now);
        }
        for (name, quota) in quotas {
            let terms = Terms::new(&quota, &self.excess);
            let old = before.remove(name);
            let start = match (&old, self.version) {
                // A process that has started again knows no predecessors.
                (None, None) => self.start(now),
                (None, Some(_)) => Start::Full,
                // Shards that are withheld stay so: the gateways that lend them may only be cut off.
                (Some(_), _) if !self.has_majority => Start::Never,
                (Some(_), _) => Start::Empty,
            };
            let mut entry = old.unwrap_or_else(|| Entry {
                terms,
                keepers: Vec::new(),
                keeper: Keeper::new(now),
                wallet: Wallet::new(now, hash::mix(name, hash::mix(&self.vm, 0))),
            });
            entry.terms = terms;
            self.teams.insert(name.clone(), entry);
            self.assign_team(now, name, start);
        }
        self.version = Some(version);
    }

    /// Takes over which gateways are known.
    pub fn assign<'a>(&mut self, now: Time, vms: impl Iterator<Item = &'a Vm> + Clone) {
        if vms.clone().eq(&self.vms) {
            return;
        }
        if !self.vms.is_empty() {
            self.has_changed_view = true;
            self.resume_end = None;
        }
        self.vms = vms.cloned().collect();
        let others = self.vms.iter().filter(|vm| **vm != self.vm);
        self.others = others.cloned().collect();
        self.revise_members(now);
        self.assign_teams(now);
    }

    fn revise_members(&mut self, now: Time) {
        self.has_majority = self.members.revise(now, &self.vms);
        self.members_revised_at = now;
    }

    fn assign_teams(&mut self, now: Time) {
        let start = self.start(now);
        let names: Vec<Team> = self.teams.keys().cloned().collect();
        for name in names {
            self.assign_team(now, &name, start);
        }
    }

    fn start(&self, now: Time) -> Start {
        match self.first_start_end {
            Some(end) if now < end => Start::Full,
            _ if self.resume_end.is_some_and(|end| now < end) => Start::Resumed,
            _ if !self.has_majority => Start::Never,
            _ => Start::Settling,
        }
    }

    fn assign_team(&mut self, now: Time, name: &str, start: Start) {
        let Some(entry) = self.teams.get_mut(name) else {
            return;
        };
        let vms = self.vms.iter().map(String::as_str);
        entry.keepers = keepers(name, &entry.terms, &vms);
        let is_valid = self.is_valid;
        let keeps = entry.keepers.iter().map(|vm| is_valid && *vm == self.vm);
        let keeps: Vec<bool> = keeps.collect();
        entry.keeper.assign(now, &entry.terms, &keeps, start);
    }

    /// Checks whether the known gateways may still be relied on, given the age of this view; returns the gateways that
    /// are to be probed. Called several times a second.
    pub fn check(&mut self, now: Time, view_age: Duration) -> Vec<Vm> {
        if now >= self.members_revised_at + MEMBERS_INTERVAL {
            let had_majority = self.has_majority;
            self.revise_members(now);
            if had_majority != self.has_majority {
                self.assign_teams(now);
            }
        }
        self.validate(now, view_age);
        self.contact.probes(view_age, &self.others)
    }

    /// Stops lending if the known gateways may not be relied on: a successor may lend the same shards.
    fn validate(&mut self, now: Time, view_age: Duration) {
        for entry in self.teams.values_mut() {
            entry.keeper.postpone(now, view_age);
        }
        let is_valid = self.contact.check(now, view_age, &self.others);
        if is_valid != self.is_valid {
            self.is_valid = is_valid;
            self.assign_teams(now);
        }
    }

    /// Records that a gateway replied to a probe that was sent at `sent`.
    pub fn probe_replied(&mut self, vm: &str, sent: Time) {
        self.contact.replied(vm, sent);
    }

    /// Lends an amount of a team's quota, given the age of this gateway's view of the others.
    pub fn lend(
        &mut self,
        now: Time,
        view_age: Duration,
        team: &str,
        needed: u64,
        wanted: u64,
    ) -> Loan {
        self.validate(now, view_age);
        match self.teams.get_mut(team) {
            Some(entry) => entry.keeper.lend(now, &entry.terms, needed, wanted),
            None => Loan::Unknown,
        }
    }

    /// Returns the share of a team's quota that this gateway lends.
    pub fn weight(&self, now: Time, team: &str) -> f64 {
        let entry = self.teams.get(team);
        entry.map_or(0.0, |entry| entry.keeper.weight(now, &entry.terms))
    }

    /// Takes back an amount that was lent and not used.
    pub fn give_back(&mut self, now: Time, team: &str, amount: u64) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.keeper.give_back(now, &entry.terms, amount);
        }
    }

    /// Decides about a request of a team; `None` if the team has no quota.
    pub fn step(&mut self, now: Time, team: &str, inquiry: &Inquiry) -> Option<Step> {
        let entry = self.teams.get_mut(team)?;
        let (terms, keepers) = (&entry.terms, &entry.keepers);
        let step = entry
            .wallet
            .step(now, terms, keepers, self.vms.len(), inquiry);
        Some(step)
    }

    /// Records a request of a team, by whose amount its demand is estimated.
    pub fn demanded(&mut self, now: Time, team: &str, amount: u64) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.wallet.demanded(now, amount);
        }
    }

    /// Records the reply of a keeper that was asked at `sent`; `None` if it did not reply.
    pub fn replied(
        &mut self,
        now: Time,
        team: &str,
        inquiry: &mut Inquiry,
        lender: &str,
        sent: Time,
        loan: Option<Loan>,
    ) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.wallet.replied(now, inquiry, lender, sent, loan);
        }
    }

    /// Records the reply of a keeper that was taken for one that does not reply.
    pub fn replied_late(&mut self, team: &str, lender: &str, sent: Time, loan: Loan) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.wallet.replied_late(lender, sent, loan);
        }
    }

    /// Takes back what a request was charged that did not run; returns what is to be given back to lenders.
    pub fn put_back(&mut self, now: Time, team: &str, parts: Vec<Part>) -> Vec<Part> {
        match self.teams.get_mut(team) {
            Some(entry) => entry.wallet.put_back(now, parts),
            None => Vec::new(),
        }
    }

    /// Removes what was borrowed and ends soon; returns it by team, to be given back to its lenders.
    pub fn expire(&mut self, now: Time) -> Vec<(Team, Vec<Part>)> {
        let entries = self.teams.iter_mut();
        let ended = entries.map(|(team, entry)| (team, entry.wallet.expire(now)));
        let ended = ended.filter(|(_, parts)| !parts.is_empty());
        ended.map(|(team, parts)| (team.clone(), parts)).collect()
    }

    /// Returns what was used of a team's quota in about the last window.
    pub fn used(&mut self, now: Time, team: &str) -> u64 {
        let entry = self.teams.get_mut(team);
        entry.map_or(0, |entry| entry.wallet.used(now, &entry.terms))
    }
}
