//! TCP relays, with which a scenario cuts the network between two processes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    cut: bool,
}

/// A relay to one address.
///
/// While it is cut, connections stay open and no byte passes, as in a network partition. They
/// close when the cut heals, so that no byte from before the cut arrives late.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(target: Option<SocketAddr>) -> eyre::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = State { target, cut: false };
        let state = Arc::new(watch::Sender::new(state));
        let shared = Arc::clone(&state);
        let accepting = tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(relay(connection, shared.subscribe()));
            }
        });
        Ok(Self {
            address,
            state,
            accepting,
        })
    }

    /// Returns the relay's own address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the address to which new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Cuts or heals.
    pub fn set_cut(&self, cut: bool) {
        self.state.send_modify(|state| state.cut = cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn relay(mut from: TcpStream, mut state: watch::Receiver<State>) {
    let State { target, cut } = *state.borrow();
    if cut {
        let _ = state.wait_for(|state| !state.cut).await;
        return;
    }
    let Some(target) = target else { return };
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    tokio::select! {
        _ = copy_bidirectional(&mut from, &mut to) => return,
        _ = state.wait_for(|state| state.cut) => {}
    }
    let _ = state.wait_for(|state| !state.cut).await;
}
