//! What daemons tell each other: loads, demand, what engines hold, and the platform's records for a
//! daemon that the platform turns away.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::ids::DaemonId;
use crate::picture::digest::Content;
use crate::picture::digest::DemandNote;
use crate::picture::digest::Digest;
use crate::picture::digest::LoadNote;
use crate::picture::digest::PeerMessage;
use crate::picture::digest::PictureReply;
use crate::picture::digest::TenureNote;
use crate::picture::directory::Change;
use crate::picture::holdings::Holding;
use crate::picture::loads::Place;
use crate::picture::loads::Work;
use crate::picture::server_start::ServerStart;
use crate::picture::starts::StartOrder;
use crate::serve::entry::Entry;
use crate::serve::observe;
use crate::serve::picture_relay::FETCH_LIMIT;
use crate::serve::picture_relay::fetch_picture;

/// Least time between two tellings of demand.
const DEMAND_GAP: Duration = Duration::from_millis(10);
/// Time between tellings of demand while it does not change.
const DEMAND_EVERY: Duration = Duration::from_millis(250);
/// Largest datagram.
const DATAGRAM: usize = 60_000;
/// Servers in one message; more go into further ones.
const HOLDINGS_EACH: usize = 24;
/// The store is taken as away when it has not answered for this long: more than a read's pace.
const STORE_SILENT: Duration = Duration::from_millis(1700);
/// Time between looks at whether this daemon is behind its peers or cut off.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// A daemon behind its peers waits this long for the store's own word first.
const BEHIND_FOR: Duration = Duration::from_millis(400);

/// Sends and receives datagrams.
#[derive(Debug)]
pub struct Gossip {
    entry: Rc<Entry>,
    socket: UdpSocket,
    malformed: Cell<u64>,
    /// When the last digest was told.
    told: Cell<Moment>,
    /// Number of digests told.
    round: Cell<u64>,
}

impl Gossip {
    /// Uses a socket.
    pub fn new(entry: Rc<Entry>, socket: UdpSocket) -> Rc<Self> {
        let (malformed, told, round) = <_>::default();
        Rc::new(Self { entry, socket, malformed, told, round })
    }

    fn encode(&self, content: Content) -> Vec<u8> {
        let settings = self.entry.settings();
        let message = PeerMessage {
            from: settings.id.clone(),
            process: self.entry.process,
            port: settings.peer.port(),
            content,
        };
        message.encode()
    }

    fn send(&self, to: SocketAddr, bytes: &[u8], kind: &'static str) {
        // A datagram that cannot be sent now is repeated with newer content.
        if self.socket.try_send_to(bytes, to).is_ok() {
            self.entry.metrics.exchanged(kind, bytes.len());
        }
    }

    fn digest_gap(&self) -> Duration {
        let peers = self.entry.peers.borrow();
        let is_holder = self.entry.standing().is_some();
        if is_holder { peers.holder_gap() } else { peers.digest_gap() }
    }

    fn digest(&self) -> Digest {
        let entry = &self.entry;
        let now = entry.now();
        let claim = entry.tenure.borrow().claim(now);
        let servers = entry.directory.borrow().end();
        let left = entry.directory.borrow_mut().left(now);
        let age = entry.config_age(now);
        let note = |(place, work): (Place, Work)| LoadNote {
            server: place.server,
            model: place.model,
            running: work.running,
            prompt: work.prompt,
        };
        Digest {
            centre: entry.settings().centre.clone(),
            config: entry.config_version(),
            config_age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            servers,
            left,
            ready: entry.is_ready(),
            loads: entry.loads.own().into_iter().map(note).collect(),
            tenure: claim.map(TenureNote::from),
        }
    }

    /// Tells all peers this daemon's state, now and then; seeds too until a peer was heard.
    pub async fn tell_digests(self: Rc<Self>) {
        loop {
            let due = self.told.get() + self.digest_gap();
            let now = self.entry.now();
            if now >= due || self.told.get().is_zero() {
                self.tell_digest();
            } else if timeout(due.saturating_sub(now), self.entry.config_changed.notified())
                .await
                .is_ok()
            {
                self.tell_version();
            }
        }
    }

    /// Tells the data centre at once that a version has come into force, on the part of those who ask for it
    /// often: the others may not hear of it otherwise for seconds.
    fn tell_version(&self) {
        if !self.entry.reads_often() {
            return;
        }
        let bytes = self.encode(Content::Digest(self.digest()));
        let centre = self.entry.settings().centre.clone();
        for (_, peer) in self.entry.peers.borrow().all().filter(|(_, p)| p.centre == centre) {
            self.send(peer.addr, &bytes, "digest");
        }
    }

    /// Tells peers this daemon's state: all of them where it holds the lease, else those whose turn it is.
    pub fn tell_digest(&self) {
        let bytes = self.encode(Content::Digest(self.digest()));
        let now = self.entry.now();
        self.told.set(now);
        let round = self.round.replace(self.round.get().wrapping_add(1));
        let addrs: Vec<SocketAddr> = {
            let mut peers = self.entry.peers.borrow_mut();
            peers.sweep(now);
            if self.entry.standing().is_some() {
                peers.all().map(|(_, p)| p.addr).collect()
            } else {
                peers.listeners(&self.entry.settings().centre, round).collect()
            }
        };
        for addr in &addrs {
            self.send(*addr, &bytes, "digest");
        }
        if self.entry.peers.borrow().near(now).next().is_none() {
            for seed in &self.entry.settings().seeds {
                if !addrs.contains(seed) && *seed != self.entry.settings().peer {
                    self.send(*seed, &bytes, "digest");
                }
            }
        }
    }

    /// Tells the holder of the placement lease what callers ask for: at once when something new is
    /// waited for, then in steps.
    pub async fn tell_demand(self: Rc<Self>) {
        loop {
            let begun = self.entry.waits.begun.notified();
            self.tell_demand_now();
            sleep(DEMAND_GAP).await;
            let _begun = timeout(DEMAND_EVERY, begun).await;
        }
    }

    fn tell_demand_now(&self) {
        let entry = &self.entry;
        let now = entry.now();
        let note = entry.waits.note(now);
        if note == DemandNote::default() {
            return;
        }
        if entry.fence().is_some() {
            let id = entry.settings().id.clone();
            entry.demand.borrow_mut().hear(&id, note, now);
            entry.plan.notify_one();
            return;
        }
        let holder = entry.peers.borrow().holder(now).map(|(_, peer, _)| peer.addr);
        if let Some(addr) = holder {
            let bytes = self.encode(Content::Demand(note));
            self.send(addr, &bytes, "demand");
        }
    }

    /// Tells all peers what engines hold.
    pub fn tell_holdings(&self, fence: u64, holdings: &[Holding]) {
        for part in holdings.chunks(HOLDINGS_EACH) {
            let bytes = self.encode(Content::Holdings(fence, part.to_vec()));
            for (_, peer) in self.entry.peers.borrow().all() {
                self.send(peer.addr, &bytes, "holdings");
            }
        }
    }

    /// Tells some peers what an engine holds.
    pub fn tell_holding(&self, fence: u64, holding: &Holding, daemons: &[DaemonId]) {
        let bytes = self.encode(Content::Holdings(fence, vec![holding.clone()]));
        let peers = self.entry.peers.borrow();
        for (_, peer) in peers.all().filter(|(id, _)| daemons.contains(id)) {
            self.send(peer.addr, &bytes, "holdings");
        }
    }

    /// Takes in datagrams.
    pub async fn listen(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                sleep(DEMAND_GAP).await;
                continue;
            };
            match PeerMessage::decode(&buffer[..length]) {
                Ok(message) => self.take(message, from),
                Err(error) => {
                    let count = self.malformed.get() + 1;
                    self.malformed.set(count);
                    // The first and then every thousandth: a flood must not fill the log.
                    if count % 1000 == 1 {
                        slog::warn!(self.entry.log, "datagram-malformed"; "from" => %from,
                            "error" => %error, "count" => count);
                    }
                }
            }
        }
    }

    fn take(&self, message: PeerMessage, from: SocketAddr) {
        let entry = &self.entry;
        if message.process == entry.process {
            return;
        }
        let now = entry.now();
        let addr = SocketAddr::new(from.ip(), message.port);
        match message.content {
            Content::Digest(digest) => {
                self.take_digest(&message.from, addr, message.process, digest);
            }
            Content::Demand(note) => {
                if entry.fence().is_some() {
                    entry.demand.borrow_mut().hear(&message.from, note, now);
                    entry.plan.notify_one();
                }
            }
            Content::Holdings(fence, mut list) => {
                list.retain(|holding| self.is_heard(&holding.server, &message.from));
                entry.put_holdings(fence, list);
            }
        }
    }

    /// Takes in that a peer named a start of a server; returns whether its word on it counts.
    fn is_heard(&self, start: &ServerStart, from: &DaemonId) -> bool {
        observe::take_start(&self.entry, start, from) != StartOrder::Older
    }

    fn take_digest(&self, from: &DaemonId, addr: SocketAddr, process: u64, digest: Digest) {
        let entry = &self.entry;
        let now = entry.now();
        let had_holder = entry.peers.borrow().holder(now).is_some();
        let was_silent = entry.peers.borrow_mut().heard(from, addr, process, &digest, now);
        if was_silent {
            slog::info!(entry.log, "dependency-regained"; "dependency" => "peer", "peer" => %from,
                "addr" => %addr, "config" => digest.config);
        }
        if digest.config > entry.config_version() {
            entry.config_news.notify_one();
        }
        if !had_holder && digest.tenure.is_some() {
            // Demand that nobody heard is told to the new holder at once.
            entry.waits.begun.notify_one();
        }
        let mut changed = false;
        for note in &digest.left {
            if entry.directory.borrow_mut().leave(note, now) != Change::None {
                changed = true;
                slog::info!(entry.log, "server"; "server" => %note.server, "change" => "Leaving",
                    "from" => %from, "beat" => note.beat,
                    "born" => note.server.born.unwrap_or(0));
            }
        }
        if changed {
            observe::servers_changed(entry);
        }
        let loads = digest.loads.into_iter().filter(|note| self.is_heard(&note.server, from));
        let work = |note: LoadNote| {
            (
                Place { server: note.server, model: note.model },
                Work { running: note.running, prompt: note.prompt },
            )
        };
        let fresh = entry.peers.borrow().silent_after();
        entry.loads.heard(from, now, fresh, loads.map(work).collect());
    }

    /// Fetches from a peer what the store does not give, and notices when this daemon is cut off.
    pub async fn keep_up(self: Rc<Self>) {
        let mut behind_since = None;
        // Daemons begin with different peers.
        let mut turn = self.entry.process as usize;
        loop {
            sleep(LOOK_EVERY).await;
            self.look_around();
            let Some(peer) = self.peer_ahead(turn) else {
                behind_since = None;
                continue;
            };
            if behind_since.get_or_insert_with(Instant::now).elapsed() < BEHIND_FOR {
                continue;
            }
            behind_since = None;
            turn = turn.wrapping_add(1);
            match timeout(FETCH_LIMIT, fetch_picture(peer)).await {
                Ok(Ok(picture)) => self.adopt(picture),
                Ok(Err(error)) => {
                    slog::warn!(self.entry.log, "peer-fetch-failed"; "peer" => %peer,
                        "error" => %error);
                }
                Err(_elapsed) => {
                    slog::warn!(self.entry.log, "peer-fetch-failed"; "peer" => %peer,
                        "error" => "timeout");
                }
            }
        }
    }

    fn look_around(&self) {
        let entry = &self.entry;
        let now = entry.now();
        let centre = entry.settings().centre.clone();
        let store_silent = now > entry.store_seen.get() + STORE_SILENT;
        // Neither alone is enough: all peers may have stopped, and the store may be away for all.
        let isolated = store_silent && entry.peers.borrow().cut_off(&centre, now);
        if entry.isolated.replace(isolated) != isolated {
            slog::warn!(entry.log, "isolation"; "cut_off" => isolated,
                "store_seen_ms_ago" => now.saturating_sub(entry.store_seen.get()).as_millis());
        }
    }

    /// Returns a peer that knows more than this daemon, where the store does not help.
    fn peer_ahead(&self, turn: usize) -> Option<SocketAddr> {
        let entry = &self.entry;
        let now = entry.now();
        let config = entry.config_version();
        let servers = entry.directory.borrow().end();
        let store_silent = now > entry.store_seen.get() + STORE_SILENT;
        let servers = store_silent.then_some(servers);
        let centre = &entry.settings().centre;
        entry.peers.borrow().ahead(config, servers, centre, turn, now)
    }

    fn adopt(&self, picture: PictureReply) {
        let entry = &self.entry;
        if !picture.raw_config.is_empty() {
            observe::adopt_config(entry, &Bytes::from(picture.raw_config), "peer");
        }
        if picture.servers <= entry.directory.borrow().end() {
            return;
        }
        let mut changed = false;
        // The peer waits for these as this daemon does: they are neither there nor gone.
        let mut listed = picture.awaited;
        for (id, raw) in picture.raw_servers {
            let change = observe::take_server(entry, &id, Some(&Bytes::from(raw)), observe::PEER);
            changed |= change != Change::None;
            listed.push(id);
        }
        let missing = entry.directory.borrow().missing(&listed);
        for id in missing {
            let change = entry.directory.borrow_mut().forget(&id);
            changed = true;
            slog::info!(entry.log, "server"; "server" => %id, "change" => ?change, "from" => "peer");
        }
        entry.directory.borrow_mut().advance(picture.servers);
        if changed {
            observe::servers_changed(entry);
        }
    }
}
