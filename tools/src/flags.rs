//! Command line of `comfreymux-standin`.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins of the platform and of backend servers, for trials by hand.
    cmd comfreymux-standin {
        /// Where it answers. [127.0.0.1:0]
        optional --listen addr: SocketAddr
        /// The log service.
        cmd log {}
        /// The host list; --entry adds a daemon to it.
        cmd hosts {
            /// A daemon, as id=data-centre=peer-address.
            repeated --entry daemon: String
        }
        /// The weight store.
        cmd store {}
        /// A model engine, which enters itself in the host list.
        cmd engine {
            /// Its name.
            required --id name: String
            /// Its data centre.
            required --centre name: String
            /// Address of the host list.
            required --hosts addr: SocketAddr
            /// Address of the weight store.
            optional --store addr: SocketAddr
            /// Accelerator memory. [80000]
            optional --memory-mib size: u64
            /// Ignore fencing numbers.
            optional --no-fencing
            /// Start count. [1]
            optional --incarnation count: u64
            /// Time between tokens, in milliseconds. [5]
            optional --gap-ms time: u64
            /// Requests that run at once. [64]
            optional --slots count: u32
        }
        /// A plain service, which enters itself in the host list.
        cmd service {
            /// Its name.
            required --id name: String
            /// Its data centre.
            required --centre name: String
            /// Address of the host list.
            required --hosts addr: SocketAddr
            /// Table row that it answers for.
            required --row name: String
        }
        /// Print a table to begin with.
        cmd table {
            /// Most requests on a replica. [8]
            optional --limit count: u32
        }
        /// A relay of streams without any decision: what a daemon is measured against.
        cmd relay {
            /// The engine.
            required --to addr: SocketAddr
        }
        /// Send requests whose deadline cannot be met, and print how long their refusals took.
        cmd refusals {
            /// Where to send them.
            required --to addr: SocketAddr
            /// A model that is not loaded. [retired]
            optional --model name: String
            /// Senders at once. [8]
            optional --senders count: usize
            /// Seconds. [5]
            optional --seconds time: u64
        }
        /// Open streams at a steady rate and print what their callers saw.
        cmd load {
            /// Where to send them.
            required --to addr: SocketAddr
            /// The model. [hem]
            optional --model name: String
            /// New streams a second. [77]
            optional --rate count: f64
            /// Seconds for which new streams come. [30]
            optional --seconds time: u64
            /// Tokens of each stream. [292]
            optional --tokens count: u64
            /// Process whose processor time and memory are printed as well.
            optional --pid id: u32
        }
    }
}
