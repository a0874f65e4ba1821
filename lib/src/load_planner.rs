//! Which model to load next, and where.
//!
//! Demand for a cold model reaches the lease holders of all data centres. Each waits a small share of
//! its own expected load time before it writes an intent, so that the one with the nearest
//! checkpoint is first in the log; the fold rejects the others.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::demand::Demand;
use crate::demand::DemandTotal;
use crate::fleet::Fleet;
use crate::fleet::HostState;
use crate::host::HostRole;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::load_rates::LoadRates;
use crate::record::Phase;
use crate::record::Source;
use crate::replicated_state::ReplicatedState;
use crate::slot_tracker::SlotTracker;
use crate::slots::Slot;
use crate::table::Row;
use crate::table::RowKind;

/// Reason of a load without callers.
const FETCH: &str = "nothing else to do, checkpoint only in the weight store";
/// Share of the expected load time that a holder waits before its intent.
const BID_SHARE: f64 = 0.05;
/// Longest such wait.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Weight-store loads that run at full speed at once.
pub const MAX_STORE_LOADS: usize = 4;
/// Factor on the load time of an engine that ignores fencing numbers: fencing ones are preferred.
const UNFENCED: f64 = 1.25;

/// What placement looks at.
#[derive(Debug)]
pub struct LoadPlanner<'a> {
    /// Now.
    pub now: Duration,
    /// The data centre whose backend servers may be chosen.
    pub centre: &'a str,
    /// The log's state.
    pub state: &'a ReplicatedState,
    /// The hosts.
    pub fleet: &'a Fleet,
    /// Waiting requests.
    pub demand: &'a Demand,
    /// Loading speeds.
    pub rates: &'a LoadRates,
    /// Slots of this data centre.
    pub slot_tracker: &'a SlotTracker,
}

/// A planned step towards a loaded replica.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// Reserve a slot and load.
    Place {
        /// The model.
        model: ModelName,
        /// The backend server.
        server: ServerId,
        /// Where its checkpoint is.
        source: Source,
        /// Why there.
        reason: String,
    },
    /// Load into a reserved slot.
    Wake {
        /// The slot.
        slot: SlotId,
        /// Where its checkpoint is.
        source: Source,
        /// Why now.
        reason: String,
    },
    /// Give an idle slot's memory back to make room.
    Evict {
        /// The slot.
        slot: SlotId,
        /// For which model.
        reason: String,
    },
    /// Nothing can be done yet.
    Hold {
        /// The model.
        model: ModelName,
        /// What it waits for.
        reason: &'static str,
    },
}

struct Candidate<'a> {
    member: &'a HostState,
    source: Source,
    time: Duration,
}

impl LoadPlanner<'_> {
    /// Plans loads for the models that requests wait for, the most urgent first.
    pub fn plan_loads(&self) -> Vec<PlanStep> {
        let mut wanted = self.wanted();
        wanted.sort_by(|a, b| b.2.total_cmp(&a.2).then_with(|| a.0.name.cmp(&b.0.name)));
        let mut remote = self.remote_loads();
        let mut plans = Vec::new();
        for (row, total, _) in wanted {
            let Some(plan) = self.plan_model(row, total, remote) else {
                continue;
            };
            if let PlanStep::Place { source, .. } | PlanStep::Wake { source, .. } = &plan {
                remote += usize::from(*source == Source::Remote);
            }
            plans.push(plan);
        }
        if plans.is_empty() && remote == 0 {
            plans.extend(self.plan_prime());
        }
        plans
    }

    /// Plans to fetch a checkpoint that only the weight store has, while nothing else is to do.
    ///
    /// The load is unloaded again soon; what it leaves on the server's disk is there for the
    /// model's first callers, who would wait for the weight store otherwise.
    fn plan_prime(&self) -> Option<PlanStep> {
        let rows = self.state.table.iter().map(|v| &v.row);
        let models = rows.filter(|r| matches!(r.kind, RowKind::Model | RowKind::Version));
        models.filter(|r| r.replicas > 0 && self.primes(r)).find_map(|row| {
            match self.state.slots_of(&row.name).next() {
                Some((slot, place)) => self.prime_slot(row, slot, place),
                None => self.prime_anew(row),
            }
        })
    }

    /// Returns whether this data centre is the one that fetches `row`: each model has one.
    fn primes(&self, row: &Row) -> bool {
        let score =
            |centre: &str| xxh3_64_with_seed(centre.as_bytes(), xxh3_64(row.name.as_bytes()));
        self.state.leases.keys().max_by_key(|c| score(c)).is_some_and(|c| *c == self.centre)
    }

    fn prime_slot(&self, row: &Row, slot: SlotId, place: &Slot) -> Option<PlanStep> {
        if place.phase != Phase::Reserved || place.memory_mib != row.memory_mib {
            return None;
        }
        let member = self.fleet.get(&place.server)?;
        let local = member.host.centre == self.centre && member.is_usable(self.now);
        let far = member.last_report.is_some() && source_on(member, row) == Source::Remote;
        let (source, reason) = (Source::Remote, FETCH.into());
        let wake = PlanStep::Wake { slot, source, reason };
        (local && far && !self.is_giving(slot)).then_some(wake)
    }

    fn prime_anew(&self, row: &Row) -> Option<PlanStep> {
        let reported = self.local().all(|m| m.last_report.is_some());
        if !reported || self.best_source(row) != Source::Remote {
            return None;
        }
        let fits = |m: &&HostState| {
            self.state.servers.contains_key(&m.host.id) && self.free_mib(m) >= row.memory_mib
        };
        let member = self.local().filter(fits).max_by_key(|m| self.free_mib(m))?;
        Some(PlanStep::Place {
            model: row.name.clone(),
            server: member.host.id.clone(),
            source: Source::Remote,
            reason: FETCH.into(),
        })
    }

    /// Returns the rows to load, with demand and urgency: waiting weight over load time.
    fn wanted(&self) -> Vec<(&Row, DemandTotal, f64)> {
        let mut seen = BTreeSet::new();
        let mut wanted = Vec::new();
        for (model, total) in self.demand.iter() {
            let Some(row) = self.state.table.row(model).filter(|r| r.is_loadable()) else {
                continue;
            };
            // An adapter runs on its base, so its requests wait for the base as well.
            let base = self.state.table.row(&row.base).filter(|_| row.kind == RowKind::Adapter);
            for row in base.into_iter().chain([row]) {
                if seen.insert(row.name.clone()) {
                    wanted.push((row, total, self.urgency(row, total)));
                }
            }
        }
        wanted
    }

    fn urgency(&self, row: &Row, total: DemandTotal) -> f64 {
        let source = self.best_source(row);
        let time = self.rates.expected_time(row.load_mib, source);
        f64::from(total.weight) * f64::from(row.weight) / time.as_secs_f64()
    }

    fn best_source(&self, row: &Row) -> Source {
        self.local().map(|m| source_on(m, row)).min().unwrap_or(Source::Remote)
    }

    fn local(&self) -> impl Iterator<Item = &HostState> {
        self.fleet
            .with_role(HostRole::Engine)
            .filter(|m| m.host.centre == self.centre && m.is_usable(self.now))
    }

    fn remote_loads(&self) -> usize {
        let remote = Phase::Loading(Source::Remote);
        self.state.slots.transitioning().filter(|(_, s)| s.phase == remote).count()
    }

    fn plan_model(&self, row: &Row, total: DemandTotal, remote: usize) -> Option<PlanStep> {
        let slots: Vec<(SlotId, &Slot)> = self.state.slots_of(&row.name).collect();
        let warm = slots.iter().filter(|(id, s)| self.is_warm(*id, s)).count();
        let needed = (total.count as usize).div_ceil(row.limit as usize).max(1);
        if warm >= needed {
            return None;
        }
        let plan = self.plan_wake(row, &slots).or_else(|| self.plan_place(row, total, &slots))?;
        if let PlanStep::Place { source, .. } | PlanStep::Wake { source, .. } = &plan
            && *source == Source::Remote
            && remote >= MAX_STORE_LOADS
        {
            let model = row.name.clone();
            return Some(PlanStep::Hold { model, reason: "weight store is busy" });
        }
        Some(plan)
    }

    /// Returns whether a slot serves or will soon do so.
    fn is_warm(&self, id: SlotId, slot: &Slot) -> bool {
        let phase = matches!(slot.phase, Phase::Loading(_) | Phase::Loaded);
        let woken = self.slot_tracker.get(id).and_then(|w| w.order).is_some_and(|o| {
            o.action == crate::host::OrderAction::Load && slot.phase == Phase::Reserved
        });
        let leaving = self.fleet.get(&slot.server).is_some_and(|m| m.leaving);
        (phase || woken) && !leaving
    }

    fn plan_wake(&self, row: &Row, slots: &[(SlotId, &Slot)]) -> Option<PlanStep> {
        slots
            .iter()
            .filter(|(id, s)| s.phase == Phase::Reserved && !self.is_giving(*id))
            .filter(|(_, s)| s.memory_mib == row.memory_mib)
            .filter_map(|(id, s)| {
                let member = self.fleet.get(&s.server)?;
                let local = member.host.centre == self.centre && member.is_usable(self.now);
                (local && self.has_base(row, &s.server)).then(|| (source_on(member, row), *id))
            })
            .min()
            .map(|(source, slot)| {
                let reason = format!("reserved here, checkpoint in {}", name_of(source));
                PlanStep::Wake { slot, source, reason }
            })
    }

    fn is_giving(&self, slot: SlotId) -> bool {
        self.slot_tracker.get(slot).is_some_and(|w| w.evicting)
    }

    fn plan_place(
        &self,
        row: &Row,
        total: DemandTotal,
        slots: &[(SlotId, &Slot)],
    ) -> Option<PlanStep> {
        if slots.len() >= row.replicas as usize {
            return None;
        }
        let taken = |server: &str| slots.iter().any(|(_, s)| s.server == server);
        let mut candidates: Vec<Candidate<'_>> = self
            .local()
            .filter(|m| self.state.servers.contains_key(&m.host.id) && !taken(&m.host.id))
            .filter(|m| m.host.memory_mib >= row.memory_mib && self.has_base(row, &m.host.id))
            .map(|member| self.candidate(member, row))
            .collect();
        candidates.sort_by(|a, b| a.time.cmp(&b.time).then_with(|| self.order_free(a, b)));
        let best = candidates.first()?;
        if self.now < total.since + self.patience(best.time) {
            let model = row.name.clone();
            return Some(PlanStep::Hold { model, reason: "a nearer checkpoint may bid first" });
        }
        let fits = candidates.iter().find(|c| self.free_mib(c.member) >= row.memory_mib);
        let Some(found) = fits else {
            return self.plan_evict(row, &candidates);
        };
        Some(PlanStep::Place {
            model: row.name.clone(),
            server: found.member.host.id.clone(),
            source: found.source,
            reason: format!(
                "{} wait, checkpoint in {}, expected {:.1}s",
                total.count,
                name_of(found.source),
                found.time.as_secs_f64()
            ),
        })
    }

    fn candidate<'b>(&self, member: &'b HostState, row: &Row) -> Candidate<'b> {
        let source = source_on(member, row);
        let time = self.rates.expected_time(row.load_mib, source);
        let factor = if member.host.fencing { 1.0 } else { UNFENCED };
        Candidate { member, source, time: time.mul_f64(factor) }
    }

    /// Of equally near servers the one with the most free memory comes first.
    fn order_free(&self, a: &Candidate<'_>, b: &Candidate<'_>) -> std::cmp::Ordering {
        self.free_mib(b.member).cmp(&self.free_mib(a.member))
    }

    fn free_mib(&self, member: &HostState) -> u64 {
        member.host.memory_mib.saturating_sub(self.state.memory_used(&member.host.id))
    }

    fn patience(&self, time: Duration) -> Duration {
        if self.state.leases.len() <= 1 {
            return Duration::ZERO;
        }
        time.mul_f64(BID_SHARE).min(MAX_WAIT)
    }

    /// Returns whether an adapter's base is loaded on `server`; true for others.
    fn has_base(&self, row: &Row, server: &str) -> bool {
        row.kind != RowKind::Adapter
            || self
                .state
                .slots_of(&row.base)
                .any(|(_, s)| s.server == server && s.phase == Phase::Loaded)
    }

    /// Chooses an idle slot whose memory makes room for `row`, the longest unused first.
    fn plan_evict(&self, row: &Row, candidates: &[Candidate<'_>]) -> Option<PlanStep> {
        let hold = |reason| Some(PlanStep::Hold { model: row.name.clone(), reason });
        for candidate in candidates {
            let server = &candidate.member.host.id;
            let on_server = || self.state.slots.on_server(server);
            let freeing: u64 =
                on_server().filter(|(id, _)| self.is_giving(*id)).map(|(_, s)| s.memory_mib).sum();
            if freeing + self.free_mib(candidate.member) >= row.memory_mib {
                return hold("memory is being freed");
            }
            let idle = on_server().filter(|(id, s)| self.is_idle(*id, s)).min_by_key(|(id, s)| {
                let used = self.slot_tracker.get(*id).map(|w| w.last_used);
                (s.phase != Phase::Reserved, used)
            });
            if let Some((slot, _)) = idle {
                let reason = format!("{} needs the memory", row.name);
                return Some(PlanStep::Evict { slot, reason });
            }
        }
        hold("no memory is free")
    }

    fn is_idle(&self, id: SlotId, slot: &Slot) -> bool {
        if self.is_giving(id) || self.demand.total(&slot.model).is_some() {
            return false;
        }
        if self.is_adapter_base(slot) {
            return false;
        }
        match slot.phase {
            Phase::Reserved => true,
            Phase::Loaded => self.slot_tracker.get(id).is_some_and(|w| w.active == 0),
            Phase::Loading(_) | Phase::Draining => false,
        }
    }

    /// Returns whether an adapter on the same server needs `slot`'s model.
    pub fn is_adapter_base(&self, slot: &Slot) -> bool {
        self.state
            .slots
            .on_server(&slot.server)
            .filter(|(_, s)| s.phase != Phase::Reserved)
            .filter_map(|(_, s)| self.state.table.row(&s.model))
            .any(|row| row.kind == RowKind::Adapter && row.base == slot.model)
    }
}

fn source_on(member: &HostState, row: &Row) -> Source {
    member.last_report.as_ref().map_or(Source::Remote, |(_, report)| report.source(&row.name))
}

fn name_of(source: Source) -> &'static str {
    match source {
        Source::Memory => "memory",
        Source::Disk => "disk",
        Source::Remote => "the weight store",
    }
}
