//! A proxy on loopback that harms the connections through it.

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

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Harm {
    /// Passes bytes on.
    #[default]
    None,
    /// Passes them on late.
    Delay,
    /// Passes nothing on towards the server.
    OneWay,
    /// Passes nothing on; open connections stay silent for good, new ones wait.
    Silence,
    /// Closes new connections at once.
    Refuse,
}

/// Delay of [`Harm::Delay`] in each direction.
const DELAY: Duration = Duration::from_millis(150);
/// Time between looks at whether a held connection may go on.
const LOOK: Duration = Duration::from_millis(50);

/// A proxy before one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it does.
    pub harm: Cell<Harm>,
    resets: Notify,
    closing: Notify,
    opening: Notify,
}

impl Proxy {
    /// Starts before `target`.
    ///
    /// # Errors
    ///
    /// The system gives no port.
    pub async fn start(target: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (resets, closing, opening) = <_>::default();
        let proxy = Rc::new(Self { addr, harm: Cell::default(), resets, closing, opening });
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
        while let Ok((stream, _)) = listener.accept().await {
            let proxy = Rc::clone(&self);
            spawn_local(async move {
                let reset = proxy.resets.notified();
                tokio::select! {
                    _ = Rc::clone(&proxy).pass(stream, target) => {}
                    () = reset => {}
                }
            });
        }
    }

    /// Refuses connections, as the host of a server that crashed does.
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Takes connections again.
    pub fn open(&self) {
        self.opening.notify_one();
    }

    /// Ends all connections that are open.
    pub fn reset(&self) {
        self.resets.notify_waiters();
    }

    async fn pass(self: Rc<Self>, caller: TcpStream, target: SocketAddr) -> io::Result<()> {
        if self.harm.get() == Harm::Refuse {
            return Ok(());
        }
        while self.harm.get() == Harm::Silence {
            sleep(LOOK).await;
        }
        let server = TcpStream::connect(target).await?;
        let (caller_in, caller_out) = caller.into_split();
        let (server_in, server_out) = server.into_split();
        // Either end's close ends both directions, as a reset would.
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
        towards: bool,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 16 * 1024];
        let mut dead = false;
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            match self.harm.get() {
                Harm::Delay => sleep(DELAY).await,
                Harm::OneWay if towards => dead = true,
                Harm::Silence => dead = true,
                _ => {}
            }
            // A connection that lost bytes can never go on as if nothing had happened.
            if !dead {
                to.write_all(&buffer[..length]).await?;
            }
        }
    }
}
