//! Parts of prompts, which several requests share.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::cluster::configuration::ServiceName;
use crate::cluster::fingerprint::Fingerprint;
use crate::ids::PartId;
use crate::protocol::FormatError;

/// Beginning of a part's key in the store, which distinguishes it from the fingerprint of a request.
const KEY_PREFIX: &str = "part:";

/// A part of prompts at one service, whose engines run the same software whatever model they use.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptPart {
    /// The service.
    pub service: ServiceName,
    /// Id of the part, the same in all prompts that contain it.
    pub id: PartId,
}

impl PromptPart {
    /// Returns the fingerprint under which requests with this part are tried one at a time.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of_prompt_part(&self.service, self.id)
    }

    /// Returns its key in the store.
    pub fn key(&self) -> SmolStr {
        format_smolstr!("{KEY_PREFIX}{self}")
    }

    /// Returns whether a key of the store is that of a part.
    pub fn is_key(key: &str) -> bool {
        key.starts_with(KEY_PREFIX)
    }
}

/// Parses a key of the store.
impl TryFrom<&str> for PromptPart {
    type Error = FormatError;

    fn try_from(key: &str) -> Result<Self, FormatError> {
        let parts = key.strip_prefix(KEY_PREFIX).and_then(|rest| rest.rsplit_once('/'));
        let part = parts.and_then(|(service, id)| {
            let id = PartId::from_str_radix(id, 16).ok()?;
            Some(Self { service: service.into(), id })
        });
        part.ok_or_else(|| FormatError(format!("not a part of a prompt: {key:?}")))
    }
}

/// Writes the service and the id in hexadecimal.
impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.service, self.id)
    }
}
