//! The quotas of all teams at one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use super::contact::{Contact, MAX_VIEW_AGE};
use super::keeper::{Keeper, Loan, Start};
use super::members::Members;
use super::wallet::{Inquiry, Part, Step, Wallet};
use super::{Excess, SETTLE_TIME, Terms, VALIDITY, keepers, marker};
use crate::clock::Time;
use crate::gateway::team::Teams;
use crate::hash;
use crate::id::{Team, Vm};

/// The time between two revisions of the members if the known gateways do not change: it takes time in large fleets.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(250);

/// How long a gateway keeps its shards without being sure that it is a member: its leases are confirmed within this time
/// after the store was away. Shorter than [`MAX_VIEW_AGE`], or it could lend again without news.
const CONFIRM_TIME: Duration = Duration::from_secs(1);

/// The age that a view may have when lending begins, if its source may itself be 1.3 s old.
const SETTLED_VIEW_AGE: Duration = Duration::from_millis(300);

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
    /// The age that a view may have when lending begins.
    settled_view_age: Duration,
    /// Until when the whole system starts for the first time.
    first_start_end: Option<Time>,
    /// When the members became known first, and how many they were.
    first_view: Option<(Time, usize)>,
    /// From when on this gateway lends what it keeps, without interruption; `None` while it is no member.
    settled_from: Option<Time>,
    /// Until when its record and its marker exist for certain; `None` if it has not written them.
    record_until: Option<Time>,
    marker_until: Option<Time>,
    /// Since when it has had news, but may be no member any more.
    uncertain_from: Option<Time>,
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
            settled_view_age: SETTLED_VIEW_AGE,
            first_start_end: is_first_start.then(|| now + SETTLE_TIME),
            first_view: None,
            settled_from: None,
            record_until: None,
            marker_until: None,
            uncertain_from: None,
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

    /// Sets the age that a view may have when lending begins, for views whose source is the store itself.
    pub fn with_settled_view_age(mut self, settled_view_age: Duration) -> Self {
        self.settled_view_age = settled_view_age;
        self
    }

    /// Records that the marker of this gateway's former process has existed until now, when this process replaced it:
    /// lends at once what this gateway has kept since its first view. Returns whether it does.
    ///
    /// It does not if the view has fewer members than the marker names: the others may only be cut off, and lend while
    /// they reach each other.
    ///
    /// Without this, no gateway would lend for [`SETTLE_TIME`] after all had been restarted at once.
    pub fn resume(&mut self, now: Time, members: usize) -> bool {
        let Some((first, count)) = self.first_view else {
            return false;
        };
        if count < members && !marker::is_near(count, members) {
            return false;
        }
        for entry in self.teams.values_mut() {
            entry.keeper.resume(now, &entry.terms, first);
        }
        if let Some(from) = &mut self.settled_from
            && *from <= first + SETTLE_TIME
        {
            *from = (*from).min(now);
        }
        true
    }

    /// Returns the number of members, this gateway included.
    pub fn member_count(&self) -> usize {
        self.vms.len()
    }

    /// Records that this gateway's marker has ended: another gateway may have taken its shards over, which settle again.
    pub fn lapsed(&mut self, now: Time) {
        let is_valid = std::mem::replace(&mut self.is_valid, false);
        self.assign_teams(now);
        self.is_valid = is_valid;
        self.assign_teams(now);
    }

    /// Records until when this gateway's record exists for certain.
    pub fn confirm_record(&mut self, until: Time) {
        self.record_until = Some(until);
    }

    /// Records until when this gateway's marker exists for certain.
    pub fn confirm_marker(&mut self, until: Time) {
        self.marker_until = Some(until);
    }

    /// Returns whether this gateway is a member that lends all the shards that it keeps, so that it may write its marker.
    pub fn lends_all(&self, now: Time) -> bool {
        let mut keepers = self.teams.values().map(|entry| &entry.keeper);
        self.has_majority
            && self.settled_from.is_some_and(|from| from <= now)
            && !keepers.any(|keeper| keeper.is_settling(now))
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
        self.vms = vms.cloned().collect();
        self.first_view.get_or_insert((now, self.vms.len()));
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
        let is_member = self.is_valid && self.vms.contains(&self.vm);
        self.settled_from = match self.settled_from {
            _ if !is_member => None,
            None => Some(now + SETTLE_TIME),
            from => from,
        };
        let names: Vec<Team> = self.teams.keys().cloned().collect();
        for name in names {
            self.assign_team(now, &name, start);
        }
    }

    fn start(&self, now: Time) -> Start {
        match self.first_start_end {
            Some(end) if now < end => Start::Full,
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
            entry.keeper.postpone(now, view_age, self.settled_view_age);
        }
        let is_valid =
            self.contact.check(now, view_age, &self.others) && self.may_be_member(now, view_age);
        if is_valid != self.is_valid {
            self.is_valid = is_valid;
            self.assign_teams(now);
        }
    }

    /// Returns whether this gateway is a member, or may not know yet that its leases continue. It lends nothing meanwhile.
    ///
    /// A gateway that has news, but can no longer renew its leases, stops lending before it is removed from the members,
    /// since one that resumes lends at once. If it was certain at its last news, [`Contact`] decides: the store may be away
    /// for all.
    fn may_be_member(&mut self, now: Time, view_age: Duration) -> bool {
        if self.is_certain_member(now, view_age) {
            self.uncertain_from = None;
            return true;
        }
        if self.uncertain_from.is_none() && view_age >= MAX_VIEW_AGE {
            return true;
        }
        now < *self.uncertain_from.get_or_insert(now) + CONFIRM_TIME
    }

    fn is_certain_member(&self, now: Time, view_age: Duration) -> bool {
        let by_marker = self
            .marker_until
            .is_some_and(|until| now + VALIDITY < until);
        // The lease of a record may end before a view is too old.
        let received_at = now.saturating_sub(view_age);
        by_marker
            || self.record_until.map_or_else(
                // Nothing is known of the leases of a process that has resumed by its marker and not renewed its record.
                || self.marker_until.is_none(),
                |until| received_at + VALIDITY < until,
            )
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
            Some(_) if self.uncertain_from.is_some() => Loan::Unknown,
            Some(entry) => entry.keeper.lend(now, &entry.terms, needed, wanted),
            None => Loan::Unknown,
        }
    }

    /// Returns the share of a team's quota that this gateway lends.
    pub fn weight(&self, now: Time, team: &str) -> f64 {
        let entry = self.teams.get(team);
        let entry = entry.filter(|_| self.uncertain_from.is_none());
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
        inquiry: &Inquiry,
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
