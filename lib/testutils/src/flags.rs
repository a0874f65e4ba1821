//! The command line of the stand-ins.

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
        cmd table {}
    }
}
