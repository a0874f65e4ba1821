//! A server's crash, and the prompts of the requests that it had.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
    /// The parts of the prompts that were at that stage.
    parts: BTreeSet<PartId>,
}

impl PromptCrash {
    /// Creates a crash without prompts.
    pub fn new(service: ServiceName, at: Moment, now: Moment) -> Self {
        let (prompts, parts, worst_stage) = (BTreeMap::new(), BTreeSet::new(), CrashStage::Other);
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
        self.own_stage == Some(self.worst_stage)
    }

    /// Adds a request of this daemon that the server had.
    pub fn add_own_prompt(&mut self, prompt: ExposedPrompt, now: Moment) {
        let stage = prompt.stage;
        self.own_stage = Some(self.own_stage.map_or(stage, |known| known.min(stage)));
        self.is_live = true;
        self.add_prompt(prompt, now);
    }

    /// Returns the most suspicious stage of all requests that the server had.
    pub fn worst_stage(&self) -> CrashStage {
        self.worst_stage
    }

    /// Records that the server had a request at a stage.
    pub fn add_stage(&mut self, stage: CrashStage) {
        if stage < self.worst_stage {
            self.worst_stage = stage;
            self.parts = self.worst_prompts().flat_map(|(_, ids)| ids).copied().collect();
        }
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
        self.add_stage(stage);
        self.parts = self.worst_prompts().flat_map(|(_, ids)| ids).copied().collect();
    }

    /// Returns the prompts of the requests that were at the most suspicious stage.
    fn worst_prompts(&self) -> impl Iterator<Item = (&Fingerprint, &[PartId])> {
        let worst = self.prompts.iter().filter(|(_, prompt)| prompt.stage == self.worst_stage);
        worst.map(|(fingerprint, prompt)| (fingerprint, prompt.parts.as_slice()))
    }

    /// Returns whether a request at the most suspicious stage had a part in its prompt.
    pub fn has_part(&self, part: &PromptPart) -> bool {
        self.service == part.service && self.parts.contains(&part.id)
    }

    /// Returns the requests at that stage whose prompts contain a part.
    pub fn requests_with(&self, part: &PromptPart) -> impl Iterator<Item = &Fingerprint> {
        let is_service = self.service == part.service;
        let with =
            self.worst_prompts().filter(move |(_, ids)| is_service && ids.contains(&part.id));
        with.map(|(fingerprint, _)| fingerprint)
    }

    /// Returns whether a part comes after another in one of the prompts.
    pub fn is_behind(&self, part: PartId, other: PartId) -> bool {
        let place = |ids: &[PartId], id| ids.iter().position(|known| *known == id);
        self.worst_prompts().any(|(_, ids)| {
            matches!((place(ids, part), place(ids, other)), (Some(part), Some(other)) if part > other)
        })
    }

    /// Returns the parts of the prompts at that stage, each once.
    pub fn parts(&self) -> impl Iterator<Item = PromptPart> {
        self.parts.iter().map(|id| PromptPart { service: self.service.clone(), id: *id })
    }

    /// Returns its report for peers, with at most `max_prompts` prompts of the most suspicious stage.
    pub fn report(&self, id: &CrashId, max_prompts: usize, now: Moment) -> PromptCrashReport {
        let prompt = |(fingerprint, prompt): (&Fingerprint, &Exposure)| ExposedPrompt {
            fingerprint: *fingerprint,
            stage: prompt.stage,
            parts: prompt.parts.clone(),
        };
        let worst = self.prompts.iter().filter(|(_, prompt)| prompt.stage == self.worst_stage);
        let prompts = worst.map(prompt).take(max_prompts).collect();
        PromptCrashReport {
            id: id.clone(),
            service: self.service.clone(),
            age: now.saturating_sub(self.at),
            worst_stage: self.worst_stage,
            prompts,
        }
    }
}
