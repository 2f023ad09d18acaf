//! A blocking HTTP/1.1 server and client, and a TCP proxy that can be cut.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// The status and the body of a response; `None` closes the connection without one.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Reads the head of a message, up to and with the empty line.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, usize)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            return Some((head, end + 4));
        }
        let mut chunk = [0; 16_384];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

fn parse_headers(head: &str) -> BTreeMap<String, String> {
    let lines = head.split("\r\n").skip(1);
    lines
        .filter_map(|l| l.split_once(':'))
        .map(|(k, v)| (k.trim().to_lowercase(), v.trim().to_owned()))
        .collect()
}

/// Takes `length` bytes after the first `from` of the buffer, which is left with what follows.
fn take_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    from: usize,
    length: usize,
) -> Option<Vec<u8>> {
    while buffer.len() < from + length {
        let mut chunk = [0; 65_536];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    let body = buffer[from..from + length].to_vec();
    buffer.drain(..from + length);
    Some(body)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("0");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves a handler on a free loopback port, each connection in its own thread.
pub fn serve(handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) -> SocketAddr {
    serve_some(usize::MAX, handler)
}

/// Serves a handler on at most so many connections at a time; further ones are closed at once.
pub fn serve_some(most: usize, handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) -> SocketAddr {
    let open = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if open.load(Ordering::SeqCst) >= most {
                continue;
            }
            open.fetch_add(1, Ordering::SeqCst);
            let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
            thread::spawn(move || {
                serve_connection(stream, &*handler);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &(dyn Fn(Request) -> Answer + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let Some((head, from)) = read_head(&mut stream, &mut buffer) else {
            return;
        };
        let headers = parse_headers(&head);
        let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let Some(body) = take_body(&mut stream, &mut buffer, from, length) else {
            return;
        };
        let mut words = head.split([' ', '\r']);
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|p| p.split_once('='));
        let query = query.map(|(k, v)| (k.to_owned(), decode(v))).collect();
        let request = Request { method, path: path.to_owned(), query, headers, body };
        let Some((status, body)) = handler(request) else {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(&body);
        if stream.write_all(&message).is_err() {
            return;
        }
    }
}

/// Sends one request on a new connection. Returns the status, zero if there is no answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    let deadline = Instant::now() + timeout;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return (0, "no connection".to_owned());
    };
    let mut message = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    if stream.write_all(message.as_bytes()).is_err() {
        return (0, "not sent".to_owned());
    }
    let mut answer = Vec::new();
    let mut chunk = [0; 65_536];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(n) => answer.extend_from_slice(&chunk[..n]),
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map(|(_, b)| b.to_owned());
    (status, body.unwrap_or_else(|| "no answer".to_owned()))
}

const OPEN: u8 = 0;
const RESET: u8 = 1;

/// A TCP proxy whose connections can be cut: open ones are closed, and new ones are closed at once.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Proxy {
            address: listener.local_addr().expect("an address"),
            mode: Arc::new(AtomicU8::new(OPEN)),
            open: Arc::default(),
        };
        let shared = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if shared.mode.load(Ordering::SeqCst) == RESET {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let mut open = shared.open.lock().unwrap();
                open.extend([client.try_clone().unwrap(), server.try_clone().unwrap()]);
                drop(open);
                let (a, b) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                thread::spawn(move || copy(client, b));
                thread::spawn(move || copy(server, a));
            }
        });
        proxy
    }

    /// Cuts the path: every connection through the proxy ends, and so does each new one.
    pub fn cut(&self) {
        self.mode.store(RESET, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.mode.store(OPEN, Ordering::SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; 65_536];
    while let Ok(n) = from.read(&mut chunk) {
        if n == 0 || to.write_all(&chunk[..n]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
