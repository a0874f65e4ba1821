//! A loopback TCP proxy that injects network faults.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::socket_owner::is_owner;

/// The fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NetworkFault {
    /// Forwards bytes unchanged.
    #[default]
    None,
    /// Forwards bytes after a delay.
    Delay,
    /// Drops bytes to the server, forwards bytes to the caller.
    OneWay,
    /// Drops all bytes. Connections that lost bytes never recover; new ones wait until the fault ends.
    Stall,
    /// Closes new connections at once.
    Refuse,
}

/// How connections of a process that is cut off from a server fail. Its open ones end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// New connections wait until the cut ends.
    Hang(u32),
    /// New connections are closed at once.
    Refuse(u32),
}

impl Cut {
    /// Returns the id of the process that is cut off.
    fn process(self) -> u32 {
        match self {
            Self::Hang(process) | Self::Refuse(process) => process,
        }
    }

    /// Returns whether a connection from `peer` to `proxy` is cut off. One of a process that has ended is not.
    fn affects(self, peer: SocketAddr, proxy: SocketAddr) -> bool {
        is_owner(self.process(), peer, proxy).unwrap_or(false)
    }
}

/// Delay of [`NetworkFault::Delay`] in each direction.
const DELAY: Duration = Duration::from_millis(150);
/// Interval at which a waiting connection checks whether the fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub addr: SocketAddr,
    /// The fault injected now.
    pub fault: Cell<NetworkFault>,
    cut: Cell<Option<Cut>>,
    cuts: Notify,
    resets: Notify,
    closing: Notify,
    opening: Notify,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (fault, cut) = (Cell::default(), Cell::default());
        let (cuts, resets, closing, opening) = <_>::default();
        let proxy = Rc::new(Self { addr, fault, cut, cuts, resets, closing, opening });
        spawn_local(Rc::clone(&proxy).listen(listener, target));
        Ok(proxy)
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, target: SocketAddr) {
        let mut listener = listener;
        loop {
            tokio::select! {
                () = Rc::clone(&self).accept(&listener, target) => return,
                () = self.closing.notified() => {}
            }
            drop(listener);
            self.opening.notified().await;
            match TcpListener::bind(self.addr).await {
                Ok(bound) => listener = bound,
                Err(_taken) => return,
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener, target: SocketAddr) {
        while let Ok((stream, peer)) = listener.accept().await {
            let proxy = Rc::clone(&self);
            spawn_local(async move {
                let reset = proxy.resets.notified();
                tokio::select! {
                    _ = Rc::clone(&proxy).pass(stream, peer, target) => {}
                    () = reset => {}
                    () = proxy.cut_off(peer) => {}
                }
            });
        }
    }

    /// Refuses connections, as the host of a crashed server does.
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Accepts connections again after [`Self::close`].
    pub fn open(&self) {
        self.opening.notify_one();
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.notify_waiters();
    }

    /// Cuts a process off, or ends the cut with `None`.
    pub fn set_cut(&self, cut: Option<Cut>) {
        self.cut.set(cut);
        self.cuts.notify_waiters();
    }

    /// Waits until a cut affects an open connection from `peer`.
    async fn cut_off(&self, peer: SocketAddr) {
        loop {
            self.cuts.notified().await;
            if self.cut.get().is_some_and(|cut| cut.affects(peer, self.addr)) {
                return;
            }
        }
    }

    async fn pass(
        self: Rc<Self>,
        caller: TcpStream,
        peer: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<()> {
        if let Some(cut) = self.cut.get().filter(|cut| cut.affects(peer, self.addr)) {
            while matches!(cut, Cut::Hang(_)) && self.cut.get() == Some(cut) {
                sleep(POLL_INTERVAL).await;
            }
            return Ok(());
        }
        if self.fault.get() == NetworkFault::Refuse {
            return Ok(());
        }
        while self.fault.get() == NetworkFault::Stall {
            sleep(POLL_INTERVAL).await;
        }
        let server = TcpStream::connect(target).await?;
        let (caller_in, caller_out) = caller.into_split();
        let (server_in, server_out) = server.into_split();
        // A close by either end closes both directions, as a reset would.
        tokio::select! {
            _ = self.copy(caller_in, server_out, true) => {}
            _ = self.copy(server_in, caller_out, false) => {}
        }
        Ok(())
    }

    async fn copy(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        to_server: bool,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 16 * 1024];
        let mut dropping = false;
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            match self.fault.get() {
                NetworkFault::Delay => sleep(DELAY).await,
                NetworkFault::OneWay if to_server => dropping = true,
                NetworkFault::Stall => dropping = true,
                _ => {}
            }
            // Once bytes were dropped, later ones must not be forwarded: the stream would have a gap.
            if !dropping {
                to.write_all(&buffer[..length]).await?;
            }
        }
    }
}
