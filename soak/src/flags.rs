//! Flags of the soak.

use std::path::PathBuf;

use comfreymux_platform_testutils::crash_moment::CrashMoment;
use comfreymux_soak::crashed_port::CrashedPort;
use comfreymux_soak::failure::Failure;

xflags::xflags! {
    /// Runs daemons as processes under random troubles and checks their promises.
    cmd comfreymux-soak {
        /// The daemon's program.
        required --program path: PathBuf
        /// The first seed; a random one if not given.
        optional --seed seed: u64
        /// Number of seeds, one after another.
        optional --seeds count: u64
        /// Seconds of troubles for each seed.
        optional --seconds seconds: u64
        /// Sends requests that crash servers as well.
        optional --fatal
        /// Sends requests whose prompts have parts that crash engines.
        optional --parts
        /// When engines crash under them: head (the default), request, prompt, event, stream, silent-request, silent-head or any.
        optional --moment moment: CrashMoment
        /// What becomes of the port of a server that crashed: refuses (the default), occupied or dark.
        optional --port port: CrashedPort
        /// Servers fail most requests and stand still again and again, before many callers; nothing else is injected.
        optional --stalls
        /// The same beside the usual troubles, kills of all daemons among them.
        optional --mixed
        /// How servers treat most requests throughout: refuse, hang, lose or fail.
        optional --failure kind: Failure
        /// Callers send an attempt again, at another daemon, when a kept connection ends without a response.
        optional --resend
        /// Callers per daemon.
        optional --callers count: usize
        /// Longest pause of a caller between two requests, in milliseconds.
        optional --pause milliseconds: u64
        /// Deadline of callers, in milliseconds.
        optional --deadline milliseconds: u64
        /// Kills all daemons at the end of the troubles.
        optional --herd
        /// Retries that all daemons may send in a window regardless of the number of requests.
        optional --slack count: u32
        /// Number of daemons.
        optional --daemons count: usize
        /// Folder for logs; those of failed seeds stay.
        optional --folder path: PathBuf
        /// Keeps the logs of all seeds.
        optional --keep
    }
}
