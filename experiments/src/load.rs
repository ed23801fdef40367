//! Generates open-loop loads from fixed seeds.

/// One kind of request, with the figures of the users' workload description of the first site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKind {
    /// Requests per second at factor 1.
    pub(crate) rate_per_s: f64,
    /// Tokens of the prompt part that all requests of a subject share.
    pub(crate) shared_tokens: u64,
    /// Mean number of tokens of a request's own prompt part.
    pub(crate) own_tokens: f64,
    /// Number of subjects, which are equally likely.
    pub(crate) subject_count: u64,
    /// Time to the first event up to which a response has its full value.
    pub(crate) objective_ms: f64,
    /// Mean time for which the response streams.
    pub(crate) stream_ms: f64,
}

/// Write-ups, chats and tags of the first site, in this order.
pub(crate) const REQUEST_KINDS: [RequestKind; 3] = [
    RequestKind {
        rate_per_s: 10.6,
        shared_tokens: 5382,
        own_tokens: 6610.0,
        subject_count: 81,
        objective_ms: 1000.0,
        stream_ms: 1800.0,
    },
    RequestKind {
        rate_per_s: 35.9,
        shared_tokens: 198,
        own_tokens: 628.0,
        subject_count: 283,
        objective_ms: 600.0,
        stream_ms: 1400.0,
    },
    RequestKind {
        rate_per_s: 20.5,
        shared_tokens: 568,
        own_tokens: 1800.0,
        subject_count: 164,
        objective_ms: 1200.0,
        stream_ms: 120.0,
    },
];

/// Largest own part of a prompt.
const MAX_OWN_TOKENS: f64 = 54_600.0;

/// Variation of a load over time and subjects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadShape {
    /// Constant rate.
    Calm,
    /// Sine of amplitude 0.4 with a period of 11 s.
    Wave,
    /// Three times the rate for 4 s of every 15 s.
    Burst,
    /// Half of the write-ups are about one subject.
    HotKey,
}

impl LoadShape {
    /// All shapes with their names in the tables.
    pub(crate) const ALL: [(LoadShape, &'static str); 4] = [
        (LoadShape::Calm, "calm"),
        (LoadShape::Wave, "wave"),
        (LoadShape::Burst, "burst"),
        (LoadShape::HotKey, "hot key"),
    ];

    /// Factor on the rate at `ms` after the start.
    fn factor(self, ms: u64) -> f64 {
        match self {
            LoadShape::Wave => 1.0 + 0.4 * (ms as f64 / 11_000.0 * std::f64::consts::TAU).sin(),
            LoadShape::Burst if ms % 15_000 < 4000 => 3.0,
            _ => 1.0,
        }
    }
}

/// Pseudo-random number generator (xorshift), so that runs can be repeated.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// Creates a generator from a seed.
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

    /// Next number in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Next exponentially distributed number with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }
}

/// One generated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// Arrival time.
    pub(crate) arrival_ms: u64,
    /// Index of the daemon that receives it.
    pub(crate) daemon: usize,
    /// Kind of request.
    pub(crate) kind: RequestKind,
    /// Id of the shared prompt part.
    pub(crate) subject: u64,
    /// Tokens of the own prompt part.
    pub(crate) own_tokens: u64,
    /// Time for which the response streams.
    pub(crate) stream_ms: u64,
}

/// Generates the requests of `seconds` at `factor` times the rates of [`REQUEST_KINDS`].
pub(crate) fn generate(
    seed: u64,
    shape: LoadShape,
    factor: f64,
    seconds: u64,
    daemons: usize,
) -> Vec<Request> {
    let mut random = Random::new(seed);
    let mut list = Vec::new();
    for ms in 0..seconds * 1000 {
        for (i, kind) in REQUEST_KINDS.into_iter().enumerate() {
            let rate = kind.rate_per_s * factor * shape.factor(ms) / 1000.0;
            if random.unit() >= rate {
                continue;
            }
            let hot = shape == LoadShape::HotKey && i == 0 && random.unit() < 0.5;
            let subject = if hot {
                0
            } else {
                random.next() % kind.subject_count
            };
            list.push(Request {
                arrival_ms: ms,
                daemon: (random.next() % daemons as u64) as usize,
                kind,
                subject: (i as u64) << 32 | subject,
                own_tokens: (kind.own_tokens * random.exponential()).min(MAX_OWN_TOKENS) as u64 + 1,
                stream_ms: (kind.stream_ms * random.exponential()) as u64,
            });
        }
    }
    list
}
