//! What backend servers say of themselves in their answers.

use crate::boot_clock::Moment;
use crate::picture::rate_limit::RateLimit;
use crate::picture::server_start::ServerStart;
use crate::protocol::AnswerTerms;
use crate::protocol::NamedLimit;
use crate::serve::entry::Entry;

impl Entry {
    /// Takes in what a server's answer says of its load and its limit; the request was `sent` then.
    pub fn hear_server(&self, server: &ServerStart, terms: &AnswerTerms, sent: Moment) {
        let now = self.now();
        if let Some(word) = terms.load {
            self.loads.told(server, now, word);
        }
        // Only an answer with the server's signature tells that it names no limit any more.
        let limit = match &terms.limit {
            NamedLimit::Limit(limit) => Some(*limit),
            NamedLimit::None if !terms.signed => return,
            NamedLimit::None => None,
            NamedLimit::Unreadable(text) => {
                let is_news = self.rates.borrow_mut().unread(server);
                if is_news {
                    slog::warn!(self.log, "server-limit-unreadable"; "server" => %server,
                        "limit" => text.as_str());
                }
                None
            }
        };
        if self.rates.borrow_mut().answered(server, limit, sent, now) {
            slog::info!(self.log, "server-limit"; "server" => %server, "from" => "own",
                "limit" => limit.map_or(-1.0, RateLimit::per_second));
        }
    }
}
