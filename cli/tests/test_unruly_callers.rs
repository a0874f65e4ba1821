//! Callers that send much and never finish, at a daemon in a process of its own. One crowd at a time.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use comfreymux_platform_testutils::caller::Ask;
use comfreymux_platform_testutils::entry_process::EntryProcess;
use comfreymux_platform_testutils::entry_process::FILE_DESCRIPTORS;
use comfreymux_platform_testutils::entry_process::HostLimits;
use comfreymux_platform_testutils::entry_process::MEGABYTE;
use comfreymux_platform_testutils::rig;
use comfreymux_platform_testutils::rig::Rig;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

/// The daemon's host. `CROWD_HOST=MEGABYTES,DESCRIPTORS,CALLERS` plays another one, and crowds of so many callers.
const HOST: HostLimits = HostLimits { memory_mb: 64, max_fds: 600 };
/// Longest body that the configuration allows.
const MAX_BODY: usize = 4 * MEGABYTE;
/// Callers with large bodies: together half as much again as the host's memory.
const LARGE_CALLERS: usize = 24;
/// Callers with small or no bodies: more than the host has descriptors for sockets.
const MANY_CALLERS: usize = 500;
/// Times that a caller connects again after its connection has ended, and the pause before.
const RETURNS: usize = 3;
const RETURN_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for one connection of such a caller to send what it has.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that requests take while callers send more behind them.
const SERVICE_TIME: Duration = Duration::from_millis(1500);
/// Times that an ordinary caller asks, at most.
const ORDINARY_TRIES: usize = 20;

/// One crowd at a time: memory and descriptors are counted.
static ALONE: Mutex<()> = Mutex::new(());

/// What each caller of a crowd sends.
#[derive(Clone, Copy, Debug)]
enum Crowd {
    /// A whole body but for its last byte.
    Body(usize),
    /// The same in this many pieces.
    Pieces(usize, usize),
    /// The same in chunks of this size, without the end.
    Chunks(usize, usize),
    /// A body that is announced as far longer than allowed.
    Announced,
    /// Chunks until the connection ends.
    Endless,
    /// A head without its end.
    Head,
    /// Whole requests with this body.
    Whole(usize),
    /// Whole requests, and this many bytes more while they are served.
    Behind(usize),
}

/// A host and, if not the usual one, the size of a crowd.
#[derive(Clone, Copy, Debug)]
struct Scene {
    host: HostLimits,
    callers: Option<usize>,
}

impl Scene {
    fn from_env() -> Self {
        let Ok(text) = std::env::var("CROWD_HOST") else {
            return Self { host: HOST, callers: None };
        };
        let numbers: Vec<usize> = text.split(',').map(|n| n.parse().expect("a number")).collect();
        let [memory_mb, descriptors, callers] = numbers[..] else { panic!("three numbers") };
        let host = HostLimits { memory_mb, max_fds: descriptors as u64 };
        Self { host, callers: Some(callers) }
    }
}

impl Crowd {
    fn size(self) -> usize {
        match self {
            Self::Body(length) | Self::Pieces(length, _) if length < MEGABYTE => MANY_CALLERS,
            Self::Head => MANY_CALLERS,
            _ => LARGE_CALLERS,
        }
    }

    /// Sends the caller's part, and stays until the daemon closes the connection.
    async fn press(self, front: SocketAddr, number: usize, sent: &Semaphore) -> io::Result<()> {
        let mut stream = TcpStream::connect(front).await?;
        let outcome = timeout(SEND_TIMEOUT, self.send(&mut stream, number)).await;
        sent.add_permits(1);
        outcome.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.map(drop)
    }

    async fn send(self, stream: &mut TcpStream, number: usize) -> io::Result<()> {
        let head = |framing: &str| {
            format!(
                "POST /look/7 HTTP/1.1\r\nHost: shop.example\r\nX-Comfreymux-Attempt-Id: crowd-{number}\r\n\
                 X-Comfreymux-Deadline-Ms: 5000\r\n{framing}"
            )
        };
        match self {
            Self::Body(length) => {
                let head = head(&format!("Content-Length: {length}\r\n\r\n"));
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'a'; length - 1]).await
            }
            Self::Whole(length) => {
                let head = head(&format!("Content-Length: {length}\r\n\r\n"));
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'a'; length]).await
            }
            Self::Behind(length) => {
                stream.write_all(head("Content-Length: 1\r\n\r\na").as_bytes()).await?;
                stream.write_all(&vec![b'a'; length]).await
            }
            Self::Pieces(length, count) => {
                let head = head(&format!("Content-Length: {length}\r\n\r\n"));
                stream.write_all(head.as_bytes()).await?;
                let piece = vec![b'a'; (length - 1) / count];
                for _ in 0..count {
                    stream.write_all(&piece).await?;
                    sleep(Duration::from_millis(20)).await;
                }
                Ok(())
            }
            Self::Chunks(length, size) => {
                stream.write_all(head("Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
                let chunk = format!("{size:x}\r\n{}\r\n", "a".repeat(size));
                let batch = chunk.repeat((64 * 1024 / size).max(1));
                let batches = length / (size * (64 * 1024 / size).max(1));
                for _ in 0..batches {
                    stream.write_all(batch.as_bytes()).await?;
                }
                Ok(())
            }
            Self::Announced => {
                let head = head("Content-Length: 100000000000\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                let piece = vec![b'a'; 64 * 1024];
                loop {
                    stream.write_all(&piece).await?;
                }
            }
            Self::Endless => {
                stream.write_all(head("Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
                let chunk = format!("10000\r\n{}\r\n", "a".repeat(64 * 1024));
                loop {
                    stream.write_all(chunk.as_bytes()).await?;
                }
            }
            Self::Head => {
                let head = head("X-Long: ");
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'a'; 15_000 - head.len()]).await
            }
        }
    }
}

/// A daemon's host at its worst so far.
#[derive(Debug, Default)]
struct Usage {
    memory: usize,
    sockets: usize,
}

impl Usage {
    fn sample(&mut self, daemon: &mut EntryProcess) -> io::Result<()> {
        assert!(daemon.is_running()?, "the daemon has ended");
        self.memory = self.memory.max(daemon.memory()?).max(daemon.peak_memory()?);
        self.sockets = self.sockets.max(daemon.sockets()?);
        Ok(())
    }

    fn check(&self, host: &HostLimits) {
        println!("{} MiB, {} sockets", self.memory / MEGABYTE, self.sockets);
        assert!(self.memory <= host.memory_mb * MEGABYTE, "memory: {} bytes", self.memory);
        let sockets = host.max_fds - FILE_DESCRIPTORS;
        assert!(self.sockets as u64 <= sockets, "descriptors: {} sockets", self.sockets);
    }
}

/// Asks as an ordinary caller does, who returns after a refusal.
async fn ask_ordinary(front: SocketAddr, body: usize) -> Option<u16> {
    let mut last = None;
    for n in 0..ORDINARY_TRIES {
        let ask =
            Ask { body: vec![b'a'; body], ..Ask::new(&format!("ordinary-{body}-{n}"), "/look/7") };
        let waits = Duration::from_millis(ask.deadline);
        if let Ok(Ok(answer)) = timeout(waits, ask.get(front)).await {
            last = Some(answer.status());
            if last == Some(200) {
                break;
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    last
}

fn start_crowd(
    crowd: Crowd,
    size: usize,
    front: SocketAddr,
    sent: &Rc<Semaphore>,
) -> Vec<JoinHandle<()>> {
    let caller = |number| {
        let sent = Rc::clone(sent);
        spawn_local(async move {
            for _ in 0..=RETURNS {
                // The daemon may close the connection at any time.
                let _ended = crowd.press(front, number, &sent).await;
                sleep(RETURN_PAUSE).await;
            }
        })
    };
    (0..size).map(caller).collect()
}

/// Guards against callers that end a daemon, exceed its host's memory or descriptors, or keep others from it.
#[rstest]
#[case::bodies(Crowd::Body(MAX_BODY))]
#[case::pieces(Crowd::Pieces(MAX_BODY, 64))]
#[case::large_chunks(Crowd::Chunks(MAX_BODY, MEGABYTE))]
#[case::small_chunks(Crowd::Chunks(MAX_BODY, 64))]
#[case::announced(Crowd::Announced)]
#[case::endless(Crowd::Endless)]
#[case::heads(Crowd::Head)]
#[case::small_bodies(Crowd::Body(60 * 1024))]
#[case::small_pieces(Crowd::Pieces(60 * 1024, 8))]
#[case::whole(Crowd::Whole(MAX_BODY))]
#[case::behind(Crowd::Behind(MAX_BODY))]
fn crowd_borne(#[case] crowd: Crowd) -> io::Result<()> {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    rig::run(async {
        let rig = Rig::start().await?;
        let mut config = rig::configuration(2);
        config["limits"]["max_body_bytes"] = json!(MAX_BODY);
        rig.store.put("keyed.op", "config", Some(&config));
        let scene = Scene::from_env();
        let size = scene.callers.unwrap_or(crowd.size());
        let program = Path::new(env!("CARGO_BIN_EXE_comfreymux-entry"));
        let mut daemon = EntryProcess::start(program, rig.store.addr, &scene.host)?;
        let front = daemon.front;
        assert_eq!(ask_ordinary(front, 10).await, Some(200), "before the crowd");
        assert_eq!(ask_ordinary(front, MAX_BODY).await, Some(200), "a long body in calm");
        if matches!(crowd, Crowd::Behind(_)) {
            rig.servers.iter().for_each(|server| server.work.set(SERVICE_TIME));
        }
        let mut usage = Usage::default();
        let sent = Rc::new(Semaphore::new(0));
        let callers = start_crowd(crowd, size, front, &sent);
        while sent.available_permits() < size {
            usage.sample(&mut daemon)?;
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(ask_ordinary(front, 10).await, Some(200), "beside the crowd");
        usage.sample(&mut daemon)?;
        callers.iter().for_each(JoinHandle::abort);
        assert_eq!(ask_ordinary(front, MAX_BODY).await, Some(200), "a long body afterwards");
        usage.sample(&mut daemon)?;
        usage.check(&scene.host);
        Ok(())
    })
}
