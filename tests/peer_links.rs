//! Links over loopback between several daemons in one process.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
};

use cuminloom::{
    peer::{
        ByteString,
        Counts,
        Event,
        Ident,
        Input,
        Message,
        PeerState,
        Peers,
        Settings,
        decode,
        encode, //
    },
    settings::Peer,
};
use cuminloom_standins::relay::{
    Mode,
    Relay, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio_tungstenite::tungstenite;

/// Payload of test messages: a number and a text.
type Payload = (u32, String);
/// Links of one daemon and their events.
type Daemon = (Peers<Payload>, flume::Receiver<Event<Payload>>);

/// Loopback address with a port chosen by the system.
const ANY: &str = "127.0.0.1:0";

/// Settings of a daemon `id` with the incarnation `id.inc`.
fn settings(id: &str, inc: &str, peers: &[(&str, SocketAddr)]) -> Settings {
    let peers = peers.iter().map(|(id, addr)| Peer {
        id: (*id).into(),
        addr: *addr,
        dc: "east".into(),
    });
    Settings {
        ident: Ident {
            id: id.into(),
            inc: format!("{id}.{inc}").into(),
            dc: "east".into(),
            vm: id.into(),
            addr: ANY.parse().unwrap(),
            started: 1,
        },
        listen: ANY.parse().unwrap(),
        peers: peers.collect(),
        secret: b"secret of the fleet".to_vec(),
        max_message: 64 * 1024,
        seed: 1,
    }
}

/// Starts the links of a daemon.
fn bind(settings: Settings) -> Daemon {
    let (sender, events) = flume::unbounded();
    (Peers::bind(settings, sender).unwrap(), events)
}

/// Waits for the first event for which `pick` returns a value, and skips others.
fn wait<T>(daemon: &Daemon, pick: impl Fn(Event<Payload>) -> Option<T>) -> T {
    daemon.1.iter().find_map(pick).unwrap()
}

/// Waits until the link to `id` is established.
fn wait_up(daemon: &Daemon, id: &str) {
    wait(daemon, |event| {
        matches!(event, Event::Up { peer, .. } if &*peer == id).then_some(())
    });
}

/// Payload of a message event.
fn payload(event: Event<Payload>) -> Option<Payload> {
    match event {
        Event::Message {
            message: Message::Node(payload),
            ..
        } => Some(payload),
        _ => None,
    }
}

/// Waits until the counters of the links meet a condition.
fn wait_counts(daemon: &Daemon, is_met: impl Fn(Counts) -> bool) {
    while !is_met(daemon.0.counts()) {
        std::thread::yield_now();
    }
}

/// Message with a payload.
fn node(number: u32, text: &str) -> Message<Payload> {
    Message::Node((number, text.into()))
}

/// Guards against messages that are lost, reordered or delivered to another daemon, also when they are
/// sent before the link is established or right before a stop, and against a configuration version
/// that does not reach a peer.
#[test]
fn messages_arrive_in_order() {
    let b = bind(settings("b", "1", &[]));
    let a = bind(settings("a", "1", &[("b", b.0.addr())]));
    let c = bind(settings("c", "1", &[("b", b.0.addr())]));
    // A message that is queued before the link is established opens the link.
    assert!(a.0.send(&"b".into(), &node(0, "early")));
    assert!(!a.0.send(&"x".into(), &node(0, "unknown peer")));
    assert_eq!(wait(&b, payload).0, 0);
    for number in 1..=500 {
        assert!(a.0.send(&"b".into(), &node(number, "text")));
    }
    for number in 1..=500 {
        assert_eq!(wait(&b, payload).0, number);
    }
    wait_up(&c, "b");
    while b
        .0
        .members(|members| members.peers().values().filter(|v| v.is_linked()).count())
        < 2
    {
        std::thread::yield_now();
    }
    assert_eq!(b.0.broadcast(&node(7, "all")), 2);
    assert_eq!(wait(&a, payload), (7, "all".into()));
    assert_eq!(wait(&c, payload), (7, "all".into()));
    a.0.update(Input::Config(9));
    while b.0.members(|members| members.versions().get("a")) != Some(9) {
        std::thread::yield_now();
    }
    // Messages that were queued before a stop arrive.
    assert!(a.0.send(&"b".into(), &node(501, "last")));
    a.0.stop();
    assert_eq!(wait(&b, payload).0, 501);
    wait(&b, |event| {
        matches!(event, Event::Down { peer } if &*peer == "a").then_some(())
    });
}

/// Guards against a link to a daemon that does not know the fleet secret, on either side, and against
/// one to a daemon other than the dialled one.
#[test]
fn unauthenticated_peers_are_refused() {
    let b = bind(settings("b", "1", &[]));
    let mut wrong_secret = settings("a", "1", &[("b", b.0.addr())]);
    wrong_secret.secret = b"another secret".to_vec();
    let a = bind(wrong_secret);
    // The dialling side is the first to check a tag.
    wait_counts(&a, |counts| counts.refused >= 2);
    assert_eq!(a.0.counts().received + b.0.counts().received, 0);
    assert!(b.1.try_iter().next().is_none());

    let misled = bind(settings("c", "1", &[("d", b.0.addr())]));
    wait_counts(&b, |counts| counts.refused >= 1);
    assert!(
        misled
            .1
            .try_iter()
            .all(|event| !matches!(event, Event::Up { .. }))
    );
}

// Messages of the handshake, as in `peer::auth`.

#[derive(Serialize)]
struct Greeting {
    ident: Ident,
    to: &'static str,
    nonce: ByteString,
}

#[derive(Serialize)]
struct Hello {
    greeting: ByteString,
}

#[derive(Serialize, Deserialize)]
struct Proof {
    tag: ByteString,
}

/// Guards against a daemon that accepts a peer without the secret, when the peer sends a made-up tag or
/// reflects the tag of the daemon.
#[test]
fn a_forged_proof_is_refused() {
    let b = bind(settings("b", "1", &[]));
    for is_reflected in [false, true] {
        let stream = TcpStream::connect(b.0.addr()).unwrap();
        let url = format!("ws://{}/", b.0.addr());
        let (mut socket, _) = tungstenite::client(url, stream).unwrap();
        let greeting = Greeting {
            ident: settings("a", "1", &[]).ident,
            to: "b",
            nonce: ByteString(vec![0; 32]),
        };
        let greeting = ByteString(encode(&greeting));
        let hello = encode(&Hello { greeting });
        socket.send(tungstenite::Message::binary(hello)).unwrap();
        let welcome = socket.read().unwrap().into_data();
        // The other field of this message is the greeting, which is ignored.
        let mut proof: Proof = decode(&welcome).unwrap();
        if !is_reflected {
            proof.tag = ByteString(vec![0; 32]);
        }
        let proof = encode(&proof);
        socket.send(tungstenite::Message::binary(proof)).unwrap();
        assert!(socket.read().is_err());
        wait_counts(&b, |counts| counts.refused == 1 + u64::from(is_reflected));
    }
    assert!(b.1.try_iter().next().is_none());
}

/// Guards against a daemon that stops serving others after malformed or oversized bytes.
#[test]
fn malformed_bytes_close_the_link() {
    let b = bind(settings("b", "1", &[]));
    let handshake = "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
                     sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
    let garbage: [&[u8]; 3] = [
        // A masked binary frame with four bytes that are not CBOR.
        &[0x82, 0x84, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        // A frame that announces 2^40 bytes.
        &[0x82, 0xff, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0],
        // A frame with reserved bits.
        &[0xf2, 0x80, 0, 0, 0, 0],
    ];
    for (number, bytes) in garbage.iter().enumerate() {
        let mut stream = TcpStream::connect(b.0.addr()).unwrap();
        stream.write_all(handshake.as_bytes()).unwrap();
        stream.write_all(bytes).unwrap();
        let _ = stream.read_to_end(&mut Vec::new());
        wait_counts(&b, |counts| counts.malformed == number as u64 + 1);
    }
    // A sender with a higher limit: the receiver closes the link, and it is established again.
    let mut settings = settings("a", "1", &[("b", b.0.addr())]);
    settings.max_message = 1 << 20;
    let a = bind(settings);
    wait_up(&a, "b");
    wait_up(&b, "a");
    assert!(a.0.send(&"b".into(), &node(1, &"x".repeat(100_000))));
    wait_counts(&b, |counts| counts.malformed == 4);
    wait_up(&b, "a");
    // A sender with the same limit does not queue such a message.
    assert!(!b.0.send(&"a".into(), &node(1, &"x".repeat(100_000))));
}

/// Guards against a link that is not established again after it was cut, and against a peer that does
/// not become suspect when its connection hangs.
#[test]
fn links_are_reestablished() {
    let b = bind(settings("b", "1", &[]));
    let relay = Relay::bind(ANY.parse().unwrap(), b.0.addr()).unwrap();
    // Daemon b can't bypass the relay by dialling a.
    let mut settings = settings("a", "1", &[("b", relay.addr())]);
    let dead = Relay::bind(ANY.parse().unwrap(), ANY.parse().unwrap()).unwrap();
    dead.set(Mode::Cut);
    settings.ident.addr = dead.addr();
    let a = bind(settings);
    wait_up(&a, "b");
    relay.set(Mode::Cut);
    wait(&a, |event| {
        matches!(event, Event::Down { .. }).then_some(())
    });
    relay.set(Mode::Open);
    wait_up(&a, "b");
    relay.set(Mode::Frozen);
    let suspect = |event| {
        matches!(
            event,
            Event::State {
                state: PeerState::Suspect,
                ..
            }
        )
        .then_some(())
    };
    wait(&a, suspect);
    wait(&b, suspect);
    relay.set(Mode::Open);
    wait_up(&a, "b");
    assert!(a.0.send(&"b".into(), &node(1, "after")));
    assert_eq!(wait(&b, payload).0, 1);
}

/// Guards against a queue that grows without bound, blocks the sender, or drops payload messages in
/// favour of heartbeats.
#[test]
fn full_queue_refuses_messages() {
    let b = bind(settings("b", "1", &[]));
    let relay = Relay::bind(ANY.parse().unwrap(), b.0.addr()).unwrap();
    let a = bind(settings("a", "1", &[("b", relay.addr())]));
    wait_up(&a, "b");
    wait_up(&b, "a");
    relay.set(Mode::Frozen);
    let text = "x".repeat(60_000);
    let queued = (0..10_000)
        .take_while(|number| a.0.send(&"b".into(), &node(*number, &text)))
        .count();
    // The queue holds 1 MiB; the rest is in socket buffers.
    assert!(queued < 10_000);
    relay.set(Mode::Open);
    for number in 0..queued {
        assert_eq!(wait(&b, payload).0 as usize, number);
    }
}
