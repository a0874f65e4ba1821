//! The daemon's command line.

xflags::xflags! {
    /// The comfreymux daemon of an entry host. Every flag has an environment variable:
    /// --append-gap is COMFREYMUX_APPEND_GAP.
    cmd comfreymuxd {
        /// Name of this daemon, unique among the entry hosts (needed).
        optional --id name: String
        /// Data centre of this host (needed).
        optional --centre name: String
        /// Where callers and operators connect. [127.0.0.1:8080]
        optional --listen addr: String
        /// Where other daemons connect, over UDP and TCP. [127.0.0.1:8081]
        optional --peer addr: String
        /// Base URL of the platform's log service (needed).
        optional --log url: String
        /// Base URL of the platform's host list (needed).
        optional --hosts url: String
        /// Silence after which a response has stalled. [10s]
        optional --idle-timeout time: String
        /// Time in which an answer must begin, where the request names none. [60s]
        optional --deadline time: String
        /// Most requests that wait for one model. [256]
        optional --queue count: String
        /// Most requests in progress. [4096]
        optional --requests count: String
        /// Most requests of one caller in progress. [1024]
        optional --caller-requests count: String
        /// Largest request body. [4096]
        optional --body-kib size: String
        /// Least time between two appends to the log. [20ms]
        optional --append-gap time: String
        /// How long an idle model stays loaded: `learned`, or a time. [learned]
        optional --keep-warm policy: String
        /// Time between load reports of one backend server. [1s]
        optional --poll time: String
        /// Longest time that a stop waits for requests in progress. [60s]
        optional --drain time: String
        /// File to record control events in, for `comfreymux replay`.
        optional --trace file: String
    }
}
