//! Loads from the weight store: what lies on no host.

use std::time::Duration;

use smol_str::SmolStr;

use crate::cluster::configuration::EngineSpec;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::ModelName;
use crate::placement::demand::ModelTarget;
use crate::placement::engine_table::Engine;
use crate::placement::load_options::BUSY_RATE;
use crate::placement::load_options::WaitStats;
use crate::placement::planner::Planner;

/// Loads from the weight store under way at once, those that nobody waits for.
const FETCHES: usize = 4;
/// The same once there is traffic: engines that fetch cannot serve other loads meanwhile.
const FETCHES_BUSY: usize = 3;
/// Longest load that is tried beside others while nobody waits for it. Where the store serves fewer at
/// once it takes twice as long or more, and what callers ask for meanwhile waits behind it.
const TRIAL_LOAD: Duration = Duration::from_secs(8);

impl Planner<'_> {
    /// Loads models from the weight store that no host has ready, those first for which most callers have nowhere
    /// to go: without a copy on any usable engine, or with more callers than its replicas can serve and no further
    /// copy. In spare time all others without a copy, so that one lies on a disk.
    ///
    /// The store is slow, and slower where loads share it: a rare model that asked first must not take
    /// the place of one that many callers come for.
    pub(super) fn fetch_missing(&mut self, is_urgent: bool) {
        for service in self.input.config.services.values() {
            let Some(spec) = &service.engine else { continue };
            let most = if is_urgent { self.input.share.concurrency() } else { self.spare(spec) };
            let mut missing: Vec<(f64, &ModelName)> = spec
                .models
                .keys()
                .filter_map(|model| Some((self.unserved(&service.name, model, is_urgent)?, model)))
                .filter(|(pull, _)| !is_urgent || *pull >= BUSY_RATE)
                .collect();
            missing.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
            for (rate, model) in missing {
                if self.options.fetching >= most || self.options.fetches_left == 0 {
                    return;
                }
                let wanted = is_urgent.then_some(WaitStats { rate, waited: Duration::ZERO });
                let avoid = self.avoid(&service.name, model);
                let options = self
                    .options
                    .engines(&service.name)
                    .filter(|e| !avoid.contains(&e.server.instance()))
                    .filter(|e| is_urgent || e.models.iter().all(|m| e.has_copy(&m.name)))
                    .filter_map(|e| self.options.load_option(e, spec, model, wanted));
                let open = options.filter(|o| o.can_start);
                let Some(best) = open.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { continue };
                self.start_load(best, model, "no copy on any host");
            }
        }
    }

    /// Arrivals a second of a model that a load from the weight store would serve; none where a host has what it
    /// takes.
    fn unserved(&self, service: &SmolStr, model: &ModelName, is_urgent: bool) -> Option<f64> {
        if !self.has_copy(service, model) {
            return Some(self.pull(service, model));
        }
        let excess = if is_urgent { self.options.excess(service, model) } else { 0.0 };
        let can_grow = self.options.index.engines_with_copy(service, model).iter().any(|e| {
            self.options.is_usable(e)
                && !e.holds(model)
                && e.job.as_ref().is_none_or(|job| job.model != *model)
        });
        let is_placed = self.placed.contains(&(service.clone(), model.clone()));
        (excess > 0.0 && !can_grow && !is_placed).then_some(excess)
    }

    /// Loads from the weight store at once that nobody waits for.
    fn spare(&self, spec: &EngineSpec) -> usize {
        let most = if self.input.demand.is_empty() { FETCHES } else { FETCHES_BUSY };
        let longest = spec.models.values().map(|m| m.store_load).max().unwrap_or_default();
        let share = self.input.share;
        let proven = if longest > TRIAL_LOAD { share.proven } else { share.concurrency() };
        most.min(proven)
    }

    /// Whether some usable engine holds a model, loads it, or has a copy of its weights.
    fn has_copy(&self, service: &SmolStr, model: &ModelName) -> bool {
        let avoid = self.avoid(service, model);
        let is_open =
            |e: &&Engine| self.options.is_usable(e) && !avoid.contains(&e.server.instance());
        self.placed.contains(&(service.clone(), model.clone()))
            || self.options.index.engines_with_copy(service, model).iter().any(is_open)
    }

    /// Engines that the requests that wait for a model cannot use.
    fn avoid(&self, service: &SmolStr, model: &ModelName) -> &[ServerInstance] {
        let item = ModelTarget { service: service.clone(), model: model.clone(), adapter: None };
        self.backlogs.get(&item).map_or(&[], |wait| &wait.avoid)
    }

    /// Arrivals a second of a model, its waiting requests counted as if they came in a second.
    fn pull(&self, service: &SmolStr, model: &ModelName) -> f64 {
        let is_it = |i: &ModelTarget| i.service == *service && i.model == *model;
        let waiting: u32 =
            self.backlogs.iter().filter(|(i, _)| is_it(i)).map(|(_, w)| w.waiting).sum();
        self.options.rate(service, model) + f64::from(waiting)
    }
}
