//! A workspace: the callers that share API keys, a priority and a quota.

use smol_str::SmolStr;

/// Name of a workspace.
pub type WorkspaceName = SmolStr;
/// Tokens of a request's prompt and of its longest response, together.
pub type Tokens = u64;

/// How many tokens the requests of a workspace may take, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens per second; greater than 0.
    pub rate: f64,
    /// Tokens that may be taken at once after a pause.
    pub burst: f64,
}

/// Settings of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, as backend servers and logs show it.
    pub name: WorkspaceName,
    /// Priority of its requests, which replaces that of their route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its quota; `None` if it has no limit.
    pub quota: Option<Quota>,
    /// Tokens that count for a request that does not specify its tokens.
    pub plain_tokens: Tokens,
}
