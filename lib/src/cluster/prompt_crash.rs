//! A server's crash, and the prompts of the requests that it had.

use std::collections::BTreeMap;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::part_report::ExposedPrompt;
use crate::cluster::part_report::PromptCrashReport;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::CrashStage;
use crate::ids::PartId;

/// Maximum number of prompts that are remembered for each crash.
const MAX_PROMPTS: usize = 64;

/// How far a server had come with the requests that have a part.
#[derive(Clone, Copy, Debug)]
struct PartStages {
    /// The least progress of all.
    least: CrashStage,
    /// The least progress of those that are at the most suspicious stage of the crash; `None` if none is.
    worst: Option<CrashStage>,
}

/// A prompt that a server had when it crashed.
#[derive(Debug)]
struct Exposure {
    stage: CrashStage,
    parts: Vec<PartId>,
}

/// A server's crash, and the prompts that it had.
#[derive(Debug)]
pub(super) struct PromptCrash {
    /// Service of the server.
    pub service: ServiceName,
    /// When it happened, by the earliest report.
    pub at: Moment,
    /// Whether a running process detected it; `false` if it is known from the store only.
    pub is_live: bool,
    /// When this daemon last learned of the crash or of another of its prompts.
    pub updated_at: Moment,
    /// The most suspicious stage of this daemon's own requests; `None` if it did not detect the crash.
    own_stage: Option<CrashStage>,
    /// Whether the server is in this daemon's data centre.
    pub is_local: bool,
    /// The prompts, by request.
    prompts: BTreeMap<Fingerprint, Exposure>,
    /// The most suspicious stage of all requests, including those that are not remembered.
    worst_stage: CrashStage,
    /// The parts of all prompts.
    parts: BTreeMap<PartId, PartStages>,
}

impl PromptCrash {
    /// Creates a crash without prompts.
    pub fn new(service: ServiceName, at: Moment, now: Moment) -> Self {
        let (prompts, parts, worst_stage) =
            (BTreeMap::new(), BTreeMap::new(), CrashStage::Unanswered);
        let (own_stage, is_live, is_local) = (None, false, false);
        Self {
            service,
            at,
            is_live,
            updated_at: now,
            own_stage,
            is_local,
            prompts,
            worst_stage,
            parts,
        }
    }

    /// Returns whether this daemon detected it.
    pub fn is_own(&self) -> bool {
        self.own_stage.is_some()
    }

    /// Returns whether a request of this daemon was at the most suspicious stage.
    pub fn has_own_suspect(&self) -> bool {
        self.own_stage.is_some_and(|stage| stage.rank() == self.worst_stage.rank())
    }

    /// Adds a request of this daemon that the server had.
    pub fn add_own_prompt(&mut self, prompt: ExposedPrompt, now: Moment) {
        let stage = prompt.stage;
        self.own_stage = Some(self.own_stage.map_or(stage, |known| known.min(stage)));
        self.is_live = true;
        self.add_prompt(prompt, now);
    }

    /// Records that the server had a request at a stage.
    pub fn add_stage(&mut self, stage: CrashStage) {
        if stage < self.worst_stage {
            self.worst_stage = stage;
            self.update_parts();
        }
    }

    fn update_parts(&mut self) {
        self.parts.clear();
        for prompt in self.prompts.values() {
            let (stage, is_worst) = (prompt.stage, self.is_worst(prompt.stage));
            for id in &prompt.parts {
                let part =
                    self.parts.entry(*id).or_insert(PartStages { least: stage, worst: None });
                part.least = less_progress(part.least, stage);
                if is_worst {
                    part.worst =
                        Some(part.worst.map_or(stage, |known| less_progress(known, stage)));
                }
            }
        }
    }

    fn is_worst(&self, stage: CrashStage) -> bool {
        stage.rank() == self.worst_stage.rank()
    }

    /// Adds a request that the server had, unless there are too many.
    pub fn add_prompt(&mut self, prompt: ExposedPrompt, now: Moment) {
        let ExposedPrompt { fingerprint, stage, parts } = prompt;
        if let Some(known) = self.prompts.get_mut(&fingerprint) {
            known.stage = known.stage.min(stage);
        } else if !parts.is_empty() && self.prompts.len() < MAX_PROMPTS {
            self.prompts.insert(fingerprint, Exposure { stage, parts });
            self.updated_at = now;
        }
        self.worst_stage = self.worst_stage.min(stage);
        self.update_parts();
    }

    /// Returns the prompts of the requests that were at the most suspicious stage.
    fn worst_prompts(&self) -> impl Iterator<Item = (&Fingerprint, &[PartId])> {
        let worst = self.prompts.iter().filter(|(_, prompt)| self.is_worst(prompt.stage));
        worst.map(|(fingerprint, prompt)| (fingerprint, prompt.parts.as_slice()))
    }

    /// Returns the least progress of the requests at the most suspicious stage that had a part in their prompts; `None` if
    /// there is none.
    pub fn worst_stage_of(&self, part: &PromptPart) -> Option<CrashStage> {
        self.stages(part)?.worst
    }

    /// Returns the least progress of all requests that had a part in their prompts; `None` if there is none.
    pub fn stage_of(&self, part: &PromptPart) -> Option<CrashStage> {
        Some(self.stages(part)?.least)
    }

    fn stages(&self, part: &PromptPart) -> Option<&PartStages> {
        self.parts.get(&part.id).filter(|_| self.service == part.service)
    }

    /// Returns the requests at the most suspicious stage whose prompts contain a part.
    pub fn requests_with(&self, part: &PromptPart) -> impl Iterator<Item = &Fingerprint> {
        let is_service = self.service == part.service;
        let with =
            self.worst_prompts().filter(move |(_, ids)| is_service && ids.contains(&part.id));
        with.map(|(fingerprint, _)| fingerprint)
    }

    /// Returns all requests whose prompts contain a part.
    pub fn all_requests_with(&self, part: &PromptPart) -> impl Iterator<Item = &Fingerprint> {
        let is_service = self.service == part.service;
        let with =
            self.prompts.iter().filter(move |(_, p)| is_service && p.parts.contains(&part.id));
        with.map(|(fingerprint, _)| fingerprint)
    }

    /// Returns whether a part comes after another in one of the prompts.
    pub fn is_behind(&self, part: PartId, other: PartId) -> bool {
        let place = |ids: &[PartId], id| ids.iter().position(|known| *known == id);
        self.prompts.values().any(|prompt| {
            let places = (place(&prompt.parts, part), place(&prompt.parts, other));
            matches!(places, (Some(part), Some(other)) if part > other)
        })
    }

    /// Returns the parts of the prompts at the most suspicious stage, each once.
    pub fn parts(&self) -> impl Iterator<Item = PromptPart> {
        let worst = self.parts.iter().filter(|(_, stages)| stages.worst.is_some());
        worst.map(|(id, _)| PromptPart { service: self.service.clone(), id: *id })
    }

    /// Returns the parts of all prompts, each once.
    pub fn all_parts(&self) -> impl Iterator<Item = PromptPart> {
        self.parts.keys().map(|id| PromptPart { service: self.service.clone(), id: *id })
    }

    /// Returns its report for peers, with at most `max_prompts` prompts, the most suspicious ones first.
    pub fn report(&self, id: &CrashId, max_prompts: usize, now: Moment) -> PromptCrashReport {
        let prompt = |(fingerprint, prompt): (&Fingerprint, &Exposure)| ExposedPrompt {
            fingerprint: *fingerprint,
            stage: prompt.stage,
            parts: prompt.parts.clone(),
        };
        let mut prompts: Vec<_> = self.prompts.iter().collect();
        prompts.sort_by_key(|(_, prompt)| (prompt.stage.rank(), prompt.stage.progress()));
        let prompts = prompts.into_iter().map(prompt).take(max_prompts).collect();
        PromptCrashReport {
            id: id.clone(),
            service: self.service.clone(),
            age: now.saturating_sub(self.at),
            worst_stage: self.worst_stage,
            prompts,
        }
    }
}

fn less_progress(a: CrashStage, b: CrashStage) -> CrashStage {
    if b.progress() < a.progress() { b } else { a }
}
