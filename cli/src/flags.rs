//! The command line's grammar.

use std::path::PathBuf;

xflags::xflags! {
    /// Operate comfreymux: edit the table, see what is loaded and why.
    cmd comfreymux {
        /// Daemon to ask, also in COMFREYMUX_DAEMON. [http://127.0.0.1:8080]
        optional --daemon url: String
        /// Print JSON for scripts.
        optional --json

        /// The table of models, adapters, versions and services.
        cmd table {
            /// Print the table in force as CSV.
            cmd get {}
            /// Make the table equal to a CSV file; exit status 1 on a conflict.
            cmd apply {
                /// The CSV file.
                required file: PathBuf
                /// Who makes the edit, for the history.
                optional --author name: String
                /// Id of the edit; a repeat with the same id is the same edit.
                optional --id id: String
            }
            /// Print what a CSV file would change.
            cmd diff {
                /// The CSV file.
                required file: PathBuf
            }
            /// Print the edits, accepted and conflicting, newest last.
            cmd history {}
        }
        /// Print what is loaded, who leads and what waits.
        cmd status {}
        /// Print why something was placed, routed, refused or unloaded.
        cmd explain {
            /// A request id, model, backend server or data centre.
            required id: String
        }
        /// Stop the daemon gracefully: no new work, nothing in progress cut.
        cmd drain {}
        /// Replay a recorded trace and check its stated outcomes; with --report, replay a workload
        /// under several policies and print what each costs.
        cmd replay {
            /// The trace file, or with --report the workload file.
            required trace: PathBuf
            /// Compare policies on a workload of this deployment: tahi-ayos or teply-domov.
            optional --report deployment: String
            /// Idle prices to try, separated by commas. [10,40,160,640]
            optional --prices list: String
            /// Where the checkpoints are at the beginning. [1]
            optional --seed number: u64
            /// SVG file to draw the trade in.
            optional --plot file: PathBuf
        }
        /// Print a generated workload as CSV, for `replay --report`.
        cmd workload {
            /// The deployment: tahi-ayos or teply-domov.
            required deployment: String
            /// Seed of the generator. [1]
            optional --seed number: u64
            /// Hours. [24]
            optional --hours number: u64
        }
        /// Run two daemons against embedded stand-ins and show what they do.
        cmd demo {}
    }
}
