//! A blocking HTTP/1.1 server and client on loopback addresses.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, Vec<u8>>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn text(&self, name: &str) -> String {
        let value = self.query.get(name).cloned().unwrap_or_default();
        String::from_utf8(value).unwrap_or_default()
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name).parse().ok()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        let body = body.into();
        Self { status, body }
    }
}

/// A connection that a server has accepted.
#[derive(Default)]
pub struct Connection {
    /// Whether it has gone silent for good: nothing that arrives is carried out, nothing is answered,
    /// and it stays open.
    pub silent: AtomicBool,
    /// The path and the topic of the request that is being served.
    pub serving: Mutex<String>,
}

/// Handles requests. `None` closes the connection without a response.
pub type Handler = dyn Fn(&Request, &Connection) -> Option<Response> + Send + Sync;

pub struct Server {
    pub address: SocketAddr,
    pub connections: Mutex<Vec<Arc<Connection>>>,
    sockets: Mutex<Vec<TcpStream>>,
    closed: AtomicBool,
}

impl Server {
    /// Resets all connections, and every new one.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Lets the open connections go silent that serve a request whose name begins with `serving`, and
    /// returns how many they are, and how many connections are open.
    pub fn silence(&self, serving: &str) -> (usize, usize) {
        let connections = self.connections.lock().unwrap();
        let mut count = 0;
        for connection in &*connections {
            if connection.serving.lock().unwrap().starts_with(serving) {
                connection.silent.store(true, Ordering::SeqCst);
                count += 1;
            }
        }
        (count, connections.len())
    }
}

pub fn serve(handler: Arc<Handler>) -> Arc<Server> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let server = Arc::new(Server {
        address: listener.local_addr().expect("an address"),
        connections: Mutex::default(),
        sockets: Mutex::default(),
        closed: AtomicBool::new(false),
    });
    let accepting = Arc::clone(&server);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            if accepting.closed.load(Ordering::SeqCst) {
                continue;
            }
            let connection = Arc::<Connection>::default();
            accepting
                .connections
                .lock()
                .unwrap()
                .push(Arc::clone(&connection));
            if let Ok(copy) = stream.try_clone() {
                let mut sockets = accepting.sockets.lock().unwrap();
                sockets.push(copy);
            }
            let (handler, server) = (Arc::clone(&handler), Arc::clone(&accepting));
            std::thread::spawn(move || {
                let address = stream.peer_addr();
                serve_connection(stream, &connection, &*handler);
                let mut open = server.connections.lock().unwrap();
                open.retain(|c| !Arc::ptr_eq(c, &connection));
                let mut sockets = server.sockets.lock().unwrap();
                if let Ok(address) = address {
                    sockets.retain(|s| s.peer_addr().is_ok_and(|a| a != address));
                }
            });
        }
    });
    server
}

fn serve_connection(stream: TcpStream, connection: &Connection, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if connection.silent.load(Ordering::SeqCst) {
            continue;
        }
        let name = format!("{}?{}", request.path, request.text("topic"));
        *connection.serving.lock().unwrap() = name;
        let response = handler(&request, connection);
        connection.serving.lock().unwrap().clear();
        if connection.silent.load(Ordering::SeqCst) {
            continue;
        }
        let Some(response) = response else {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(response.body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &BTreeMap<String, String>,
) -> Option<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut parts = first.split(' ');
    let target = parts.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let body = read_body(reader, &headers)?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: pairs.map(|(k, v)| (k.to_owned(), unescape(v))).collect(),
        headers,
        body,
    })
}

fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    out
}

/// A client's connection, which is opened again after an error.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            stream: None,
        }
    }

    /// Sends a request. Returns the status and the body, `None` without a whole response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let result = self.try_call(method, path, headers, body);
        if result.is_none() {
            self.stream = None;
        }
        result
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, self.timeout).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(self.timeout)).ok()?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut()?;
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        reader.get_mut().write_all(&bytes).ok()?;
        let (first, headers) = read_head(reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let body = read_body(reader, &headers)?;
        if headers.get("connection").is_some_and(|c| c == "close") {
            self.stream = None;
        }
        Some((status, body))
    }
}
