//! Plans which models to load next, and on which backend servers.
//!
//! Demand for a cold model reaches the lease holders of all data centres. Each waits for a small
//! fraction of its own expected load time before it appends an intent, so that the intent of the
//! holder with the shortest load time is first in the log; the fold rejects the others.

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

/// Reason given for a load of a model that no request waits for.
const PREFETCH_REASON: &str = "nothing else to do, checkpoint only in the weight store";
/// Fraction of the expected load time that a lease holder waits before it appends an intent.
const INTENT_DELAY_RATIO: f64 = 0.05;
/// Maximum time that a lease holder waits before it appends an intent.
const MAX_INTENT_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of concurrent loads from the weight store; up to this many run at full speed.
pub const MAX_STORE_LOADS: usize = 4;
/// Factor on the expected load time of engines that ignore fencing numbers, so that engines that
/// check them are preferred.
const UNFENCED_TIME_FACTOR: f64 = 1.25;

/// Plans the loads of one data centre from the state that it borrows.
#[derive(Debug)]
pub struct LoadPlanner<'a> {
    /// Current time on the daemon's monotonic clock.
    pub now: Duration,
    /// The data centre whose backend servers may be chosen.
    pub centre: &'a str,
    /// The replicated state.
    pub state: &'a ReplicatedState,
    /// State of all hosts.
    pub fleet: &'a Fleet,
    /// Waiting requests by model.
    pub demand: &'a Demand,
    /// Loading speeds by source.
    pub rates: &'a LoadRates,
    /// Slots of this data centre.
    pub slot_tracker: &'a SlotTracker,
}

/// A planned step in loading a model.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// Reserve a slot and load the model into it.
    Place {
        /// The model.
        model: ModelName,
        /// The backend server.
        server: ServerId,
        /// Source that the checkpoint is read from.
        source: Source,
        /// Why this server was chosen.
        reason: String,
    },
    /// Load the model into its reserved slot.
    Wake {
        /// The slot.
        slot: SlotId,
        /// Source that the checkpoint is read from.
        source: Source,
        /// Why the model is loaded.
        reason: String,
    },
    /// Free an idle slot's memory for another model.
    Evict {
        /// The slot.
        slot: SlotId,
        /// Why the slot is evicted; names the model that needs the memory.
        reason: String,
    },
    /// Postpone the load.
    Hold {
        /// The model.
        model: ModelName,
        /// What the load waits for.
        reason: &'static str,
    },
}

struct Candidate<'a> {
    host_state: &'a HostState,
    source: Source,
    time: Duration,
}

impl LoadPlanner<'_> {
    /// Plans loads for the models that requests wait for, most urgent first; if there is nothing to
    /// do for them, plans to prefetch one checkpoint.
    pub fn plan_loads(&self) -> Vec<PlanStep> {
        let mut demanded = self.demanded_rows();
        demanded.sort_by(|a, b| b.2.total_cmp(&a.2).then_with(|| a.0.name.cmp(&b.0.name)));
        let mut remote = self.remote_loads();
        let mut steps = Vec::new();
        for (row, total, _) in demanded {
            let Some(plan) = self.plan_model(row, total, remote) else {
                continue;
            };
            if let PlanStep::Place { source, .. } | PlanStep::Wake { source, .. } = &plan {
                remote += usize::from(*source == Source::Remote);
            }
            steps.push(plan);
        }
        if steps.is_empty() && remote == 0 {
            steps.extend(self.plan_prefetch());
        }
        steps
    }

    /// Plans to prefetch a checkpoint that can only be read from the weight store.
    ///
    /// Called while no other load is planned and no load from the weight store is in progress.
    ///
    /// The model is unloaded again soon, but the copy on the server's disk remains, so the model's
    /// first callers need not wait for a load from the weight store.
    fn plan_prefetch(&self) -> Option<PlanStep> {
        let rows = self.state.table.iter().map(|v| &v.row);
        let models = rows.filter(|r| matches!(r.kind, RowKind::Model | RowKind::Version));
        models.filter(|r| r.replicas > 0 && self.is_prefetch_centre(r)).find_map(|row| {
            match self.state.slots_of(&row.name).next() {
                Some((slot, reserved)) => self.prefetch_into_slot(row, slot, reserved),
                None => self.prefetch_into_new_slot(row),
            }
        })
    }

    /// Returns whether this data centre prefetches `row`; for each model exactly one does.
    fn is_prefetch_centre(&self, row: &Row) -> bool {
        let score =
            |centre: &str| xxh3_64_with_seed(centre.as_bytes(), xxh3_64(row.name.as_bytes()));
        self.state.leases.keys().max_by_key(|c| score(c)).is_some_and(|c| *c == self.centre)
    }

    fn prefetch_into_slot(&self, row: &Row, slot: SlotId, reserved: &Slot) -> Option<PlanStep> {
        if reserved.phase != Phase::Reserved || reserved.memory_mib != row.memory_mib {
            return None;
        }
        let host_state = self.fleet.get(&reserved.server)?;
        let local = host_state.host.centre == self.centre && host_state.is_usable(self.now);
        let is_remote =
            host_state.last_report.is_some() && source_on(host_state, row) == Source::Remote;
        let (source, reason) = (Source::Remote, PREFETCH_REASON.into());
        let wake = PlanStep::Wake { slot, source, reason };
        (local && is_remote && !self.is_evicting(slot)).then_some(wake)
    }

    fn prefetch_into_new_slot(&self, row: &Row) -> Option<PlanStep> {
        let reported = self.local().all(|m| m.last_report.is_some());
        if !reported || self.best_source(row) != Source::Remote {
            return None;
        }
        let fits = |m: &&HostState| {
            self.state.servers.contains_key(&m.host.id) && self.free_mib(m) >= row.memory_mib
        };
        let host_state = self.local().filter(fits).max_by_key(|m| self.free_mib(m))?;
        Some(PlanStep::Place {
            model: row.name.clone(),
            server: host_state.host.id.clone(),
            source: Source::Remote,
            reason: PREFETCH_REASON.into(),
        })
    }

    /// Returns the rows with demand and their urgency: the weight of the demand over the load time.
    fn demanded_rows(&self) -> Vec<(&Row, DemandTotal, f64)> {
        let mut seen = BTreeSet::new();
        let mut demanded = Vec::new();
        for (model, total) in self.demand.iter() {
            let Some(row) = self.state.table.row(model).filter(|r| r.is_loadable()) else {
                continue;
            };
            // An adapter runs on its base model, so its requests wait for the base as well.
            let base = self.state.table.row(&row.base).filter(|_| row.kind == RowKind::Adapter);
            for row in base.into_iter().chain([row]) {
                if seen.insert(row.name.clone()) {
                    demanded.push((row, total, self.urgency(row, total)));
                }
            }
        }
        demanded
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

    /// Returns whether a slot's model is loaded, loading or ordered to load, on a host that is not
    /// leaving.
    fn is_warm(&self, id: SlotId, slot: &Slot) -> bool {
        let phase = matches!(slot.phase, Phase::Loading(_) | Phase::Loaded);
        let load_ordered = self.slot_tracker.get(id).and_then(|w| w.order).is_some_and(|o| {
            o.action == crate::host::OrderAction::Load && slot.phase == Phase::Reserved
        });
        let leaving = self.fleet.get(&slot.server).is_some_and(|m| m.leaving);
        (phase || load_ordered) && !leaving
    }

    fn plan_wake(&self, row: &Row, slots: &[(SlotId, &Slot)]) -> Option<PlanStep> {
        slots
            .iter()
            .filter(|(id, s)| s.phase == Phase::Reserved && !self.is_evicting(*id))
            .filter(|(_, s)| s.memory_mib == row.memory_mib)
            .filter_map(|(id, s)| {
                let host_state = self.fleet.get(&s.server)?;
                let local = host_state.host.centre == self.centre && host_state.is_usable(self.now);
                (local && self.has_base(row, &s.server)).then(|| (source_on(host_state, row), *id))
            })
            .min()
            .map(|(source, slot)| {
                let reason = format!("reserved here, checkpoint in {}", source_name(source));
                PlanStep::Wake { slot, source, reason }
            })
    }

    fn is_evicting(&self, slot: SlotId) -> bool {
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
            .map(|host_state| self.candidate(host_state, row))
            .collect();
        candidates.sort_by(|a, b| a.time.cmp(&b.time).then_with(|| self.cmp_free_memory(a, b)));
        let best = candidates.first()?;
        if self.now < total.since + self.intent_delay(best.time) {
            let model = row.name.clone();
            return Some(PlanStep::Hold { model, reason: "a nearer checkpoint may bid first" });
        }
        let fits = candidates.iter().find(|c| self.free_mib(c.host_state) >= row.memory_mib);
        let Some(chosen) = fits else {
            return self.plan_evict(row, &candidates);
        };
        Some(PlanStep::Place {
            model: row.name.clone(),
            server: chosen.host_state.host.id.clone(),
            source: chosen.source,
            reason: format!(
                "{} wait, checkpoint in {}, expected {:.1}s",
                total.count,
                source_name(chosen.source),
                chosen.time.as_secs_f64()
            ),
        })
    }

    fn candidate<'b>(&self, host_state: &'b HostState, row: &Row) -> Candidate<'b> {
        let source = source_on(host_state, row);
        let time = self.rates.expected_time(row.load_mib, source);
        let factor = if host_state.host.fencing { 1.0 } else { UNFENCED_TIME_FACTOR };
        Candidate { host_state, source, time: time.mul_f64(factor) }
    }

    /// Orders candidates with equal load times by free memory, largest first.
    fn cmp_free_memory(&self, a: &Candidate<'_>, b: &Candidate<'_>) -> std::cmp::Ordering {
        self.free_mib(b.host_state).cmp(&self.free_mib(a.host_state))
    }

    fn free_mib(&self, host_state: &HostState) -> u64 {
        host_state.host.memory_mib.saturating_sub(self.state.memory_used(&host_state.host.id))
    }

    fn intent_delay(&self, time: Duration) -> Duration {
        if self.state.leases.len() <= 1 {
            return Duration::ZERO;
        }
        time.mul_f64(INTENT_DELAY_RATIO).min(MAX_INTENT_DELAY)
    }

    /// Returns whether the base model of adapter `row` is loaded on `server`; true for other rows.
    fn has_base(&self, row: &Row, server: &str) -> bool {
        row.kind != RowKind::Adapter
            || self
                .state
                .slots_of(&row.base)
                .any(|(_, s)| s.server == server && s.phase == Phase::Loaded)
    }

    /// Chooses an idle slot to evict for `row`: reserved slots first, then the least recently used.
    fn plan_evict(&self, row: &Row, candidates: &[Candidate<'_>]) -> Option<PlanStep> {
        let hold = |reason| Some(PlanStep::Hold { model: row.name.clone(), reason });
        for candidate in candidates {
            let server = &candidate.host_state.host.id;
            let on_server = || self.state.slots.on_server(server);
            let freeing: u64 = on_server()
                .filter(|(id, _)| self.is_evicting(*id))
                .map(|(_, s)| s.memory_mib)
                .sum();
            if freeing + self.free_mib(candidate.host_state) >= row.memory_mib {
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
        if self.is_evicting(id) || self.demand.total(&slot.model).is_some() {
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

    /// Returns whether an adapter on the same server has `slot`'s model as its base.
    pub fn is_adapter_base(&self, slot: &Slot) -> bool {
        self.state
            .slots
            .on_server(&slot.server)
            .filter(|(_, s)| s.phase != Phase::Reserved)
            .filter_map(|(_, s)| self.state.table.row(&s.model))
            .any(|row| row.kind == RowKind::Adapter && row.base == slot.model)
    }
}

fn source_on(host_state: &HostState, row: &Row) -> Source {
    host_state.last_report.as_ref().map_or(Source::Remote, |(_, report)| report.source(&row.name))
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::Memory => "memory",
        Source::Disk => "disk",
        Source::Remote => "the weight store",
    }
}
