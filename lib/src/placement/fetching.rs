//! Plans fetches of models that have no usable copy on any host.

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

/// Most concurrent fetches of models that no request waits for.
const MAX_SPARE_FETCHES: usize = 4;
/// The same once there is traffic: an engine cannot run other loads during a fetch.
const MAX_SPARE_FETCHES_BUSY: usize = 3;
/// Models that take longer to fetch than this are not used to test the store's capacity while no request waits for
/// them. If the store serves fewer at once, the fetch takes at least twice as long and delays the loads that
/// callers need meanwhile.
const MAX_TRIAL_LOAD: Duration = Duration::from_secs(8);

impl Planner<'_> {
    /// Fetches models from the weight store that no host can provide. Those with the most requests that cannot be
    /// served come first: models without a copy at any usable engine, or with more requests than their replicas
    /// can serve and no further copy. If `is_urgent` is not set, all other models without a copy are fetched, so
    /// that one is stored on a disk.
    ///
    /// The store is slow, and slower for concurrent fetches: a rare model that was requested first must not delay
    /// one that many callers request.
    pub(super) fn fetch_missing(&mut self, is_urgent: bool) {
        for service in self.input.config.services.values() {
            let Some(spec) = &service.engine else { continue };
            let max_fetches = if is_urgent {
                self.input.share.concurrency()
            } else {
                self.max_spare_fetches(spec)
            };
            let mut missing: Vec<(f64, &ModelName)> = spec
                .models
                .keys()
                .filter_map(|model| Some((self.unserved(&service.name, model, is_urgent)?, model)))
                .filter(|(demand_rate, _)| !is_urgent || *demand_rate >= BUSY_RATE)
                .collect();
            missing.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
            for (rate, model) in missing {
                if self.options.fetching >= max_fetches || self.options.fetches_left == 0 {
                    return;
                }
                let stats = is_urgent.then_some(WaitStats { rate, waited: Duration::ZERO });
                let avoid = self.avoid(&service.name, model);
                let options = self
                    .options
                    .engines(&service.name)
                    .filter(|e| !avoid.contains(&e.server.instance()))
                    .filter(|e| is_urgent || e.models.iter().all(|m| e.has_copy(&m.name)))
                    .filter_map(|e| self.options.load_option(e, spec, model, stats));
                let ready = options.filter(|o| o.can_start);
                let Some(best) = ready.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { continue };
                self.start_load(best, model, "no copy on any host");
            }
        }
    }

    /// Returns the arrivals per second that a fetch of a model would serve; `None` if local copies suffice.
    fn unserved(&self, service: &SmolStr, model: &ModelName, is_urgent: bool) -> Option<f64> {
        if !self.has_copy(service, model) {
            return Some(self.demand_rate(service, model));
        }
        let excess = if is_urgent { self.options.excess(service, model) } else { 0.0 };
        let can_grow = self.options.index.engines_with_copy(service, model).iter().any(|e| {
            self.options.is_usable(e)
                && !e.holds(model)
                && e.load_job.as_ref().is_none_or(|job| job.model != *model)
        });
        let is_placed = self.placed.contains(&(service.clone(), model.clone()));
        (excess > 0.0 && !can_grow && !is_placed).then_some(excess)
    }

    /// Returns how many concurrent fetches are allowed for models that no request waits for.
    fn max_spare_fetches(&self, spec: &EngineSpec) -> usize {
        let max_fetches =
            if self.input.demand.is_empty() { MAX_SPARE_FETCHES } else { MAX_SPARE_FETCHES_BUSY };
        let longest = spec.models.values().map(|m| m.store_load).max().unwrap_or_default();
        let share = self.input.share;
        let proven = if longest > MAX_TRIAL_LOAD { share.proven } else { share.concurrency() };
        max_fetches.min(proven)
    }

    /// Returns whether a usable engine holds a model, is loading it, or has a copy of its weights.
    fn has_copy(&self, service: &SmolStr, model: &ModelName) -> bool {
        let avoid = self.avoid(service, model);
        let is_allowed =
            |e: &&Engine| self.options.is_usable(e) && !avoid.contains(&e.server.instance());
        self.placed.contains(&(service.clone(), model.clone()))
            || self.options.index.engines_with_copy(service, model).iter().any(is_allowed)
    }

    /// Returns the engines that requests queued for a model cannot use.
    fn avoid(&self, service: &SmolStr, model: &ModelName) -> &[ServerInstance] {
        let (service, model) = (service.clone(), model.clone());
        let target = ModelTarget { service, model, adapter: None, version: None };
        self.backlogs.get(&target).map_or(&[], |backlog| &backlog.avoid)
    }

    /// Returns a model's arrivals per second, counting its queued requests as if they arrived within a second.
    fn demand_rate(&self, service: &SmolStr, model: &ModelName) -> f64 {
        let is_match = |t: &ModelTarget| t.service == *service && t.model == *model;
        let waiting: u32 =
            self.backlogs.iter().filter(|(t, _)| is_match(t)).map(|(_, b)| b.waiting).sum();
        self.options.rate(service, model) + f64::from(waiting)
    }
}
