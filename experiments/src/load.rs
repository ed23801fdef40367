//! Open-loop loads with fixed seeds.

/// One kind of request, by the users' sheet of the first site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    /// Requests a second at factor 1.
    pub(crate) per_second: f64,
    /// Tokens of the part that all requests of a subject share.
    pub(crate) shared: u64,
    /// Mean of the tokens of the request's own part.
    pub(crate) own: f64,
    /// Subjects.
    pub(crate) subjects: u64,
    /// Time within which the first event is worth most, in milliseconds.
    pub(crate) objective_ms: f64,
    /// Mean of the time for which the answer streams, in milliseconds.
    pub(crate) stream_ms: f64,
}

/// Write-ups, chats and tags of the first site.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        per_second: 10.6,
        shared: 5382,
        own: 6610.0,
        subjects: 81,
        objective_ms: 1000.0,
        stream_ms: 1800.0,
    },
    Kind {
        per_second: 35.9,
        shared: 198,
        own: 628.0,
        subjects: 283,
        objective_ms: 600.0,
        stream_ms: 1400.0,
    },
    Kind {
        per_second: 20.5,
        shared: 568,
        own: 1800.0,
        subjects: 164,
        objective_ms: 1200.0,
        stream_ms: 120.0,
    },
];

/// Largest own part, in tokens.
const MAX_OWN: f64 = 54_600.0;

/// Shape of a load over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// Even.
    Calm,
    /// Rises and falls by 0.4 every 11 s.
    Wave,
    /// Three times the load for 4 s of every 15.
    Burst,
    /// Half of the write-ups are about one subject.
    HotKey,
}

impl Shape {
    /// All shapes with their names.
    pub(crate) const ALL: [(Shape, &'static str); 4] = [
        (Shape::Calm, "calm"),
        (Shape::Wave, "wave"),
        (Shape::Burst, "burst"),
        (Shape::HotKey, "hot key"),
    ];

    fn factor(self, ms: u64) -> f64 {
        match self {
            Shape::Wave => 1.0 + 0.4 * (ms as f64 / 11_000.0 * std::f64::consts::TAU).sin(),
            Shape::Burst if ms % 15_000 < 4000 => 3.0,
            _ => 1.0,
        }
    }
}

/// Generator with a fixed seed.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// A generator.
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Next number from 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// Time at which it comes, in milliseconds.
    pub(crate) at: u64,
    /// Daemon that it comes to.
    pub(crate) daemon: usize,
    /// Kind.
    pub(crate) kind: Kind,
    /// Id of the shared part.
    pub(crate) subject: u64,
    /// Tokens of the own part.
    pub(crate) own: u64,
    /// Time for which the answer streams, in milliseconds.
    pub(crate) stream: u64,
}

/// Requests of `seconds` at `factor` times the sheet's rates.
pub(crate) fn generate(
    seed: u64,
    shape: Shape,
    factor: f64,
    seconds: u64,
    daemons: usize,
) -> Vec<Request> {
    let mut random = Random::new(seed);
    let mut list = Vec::new();
    for ms in 0..seconds * 1000 {
        for (i, kind) in KINDS.into_iter().enumerate() {
            let rate = kind.per_second * factor * shape.factor(ms) / 1000.0;
            if random.unit() >= rate {
                continue;
            }
            let hot = shape == Shape::HotKey && i == 0 && random.unit() < 0.5;
            let subject = if hot {
                0
            } else {
                random.next() % kind.subjects
            };
            list.push(Request {
                at: ms,
                daemon: (random.next() % daemons as u64) as usize,
                kind,
                subject: (i as u64) << 32 | subject,
                own: (kind.own * random.exponential()).min(MAX_OWN) as u64 + 1,
                stream: (kind.stream_ms * random.exponential()) as u64,
            });
        }
    }
    list
}
