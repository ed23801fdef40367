//! Simulates loads against the placement of cuminloom and against baselines. Prints tables, and draws
//! the share of requests whose first event is within the objective over the load.

mod engine;
mod load;
mod policy;

use std::{
    fmt,
    path::{
        Path,
        PathBuf, //
    },
};

use clap::{
    Arg,
    Command,
    value_parser, //
};
use engine::Engine;
use error_stack::{
    Report,
    ResultExt, //
};
use load::{
    LoadShape,
    Random,
    generate, //
};
use plotters::prelude::{
    ChartBuilder,
    Color,
    IntoDrawingArea,
    LineSeries,
    Palette,
    Palette99,
    PathElement,
    SVGBackend,
    WHITE, //
};
use policy::{
    EngineView,
    Policy, //
};

/// Drawing the plot failed.
#[derive(Debug)]
struct PlotError;

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot draw the plot")
    }
}

impl std::error::Error for PlotError {}

/// Number of daemons on the first site.
const DAEMON_COUNT: usize = 7;

/// Number of engines on the first site.
const ENGINE_COUNT: usize = 9;

/// Length of the load of one run.
const RUN_SECONDS: u64 = 60;

/// Time after which a request without a first event counts as timed out.
const FIRST_EVENT_TIMEOUT_MS: u64 = 15_000;

/// Loads of the plot, as factors on the rates of the workload description.
const PLOT_FACTORS: [f64; 6] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0];

/// Results of one run.
#[derive(Clone, Copy, Debug)]
struct Stats {
    /// Share of requests whose first event was within the objective.
    on_time: f64,
    /// Median time to the first event.
    median_ms: u64,
    /// 95th percentile of the time to the first event.
    p95_ms: u64,
    /// Tokens of shared parts that were read although another engine had them cached.
    reread_tokens: u64,
}

/// Simulates one load under one policy, in steps of a millisecond.
fn simulate(seed: u64, shape: LoadShape, factor: f64, policy: Policy) -> Stats {
    let requests = generate(seed, shape, factor, RUN_SECONDS, DAEMON_COUNT);
    let names: Vec<String> = (0..ENGINE_COUNT).map(|i| format!("engine-{i}")).collect();
    let mut random = Random::new(seed + 1);
    let mut engines = vec![Engine::default(); ENGINE_COUNT];
    let mut views = vec![vec![EngineView::default(); ENGINE_COUNT]; DAEMON_COUNT];
    let mut placed = vec![(0, 0); requests.len()];
    let mut first_event_ms: Vec<Option<u64>> = vec![None; requests.len()];
    let mut streaming: Vec<(u64, usize)> = Vec::new();
    let mut turns = [0; DAEMON_COUNT];
    let mut next = 0;
    for now in 0..RUN_SECONDS * 1000 + FIRST_EVENT_TIMEOUT_MS {
        while next < requests.len() && requests[next].arrival_ms == now {
            let request = &requests[next];
            for (view, engine) in views[request.daemon].iter_mut().zip(&engines) {
                view.last_report = engine.report();
            }
            turns[request.daemon] += 1;
            let turn = turns[request.daemon];
            let e = policy.choose(request, &views[request.daemon], &names, turn, &mut random);
            let cached_elsewhere = engines.iter().any(|x| x.has_cached(request.subject, now));
            let prompt = request.own_tokens + request.kind.shared_tokens;
            let view = &mut views[request.daemon][e];
            view.in_flight += 1;
            view.backlog += prompt;
            placed[next] = (e, prompt);
            engines[e].enqueue(
                next,
                request.subject,
                request.kind.shared_tokens,
                request.own_tokens,
                cached_elsewhere,
                now,
            );
            next += 1;
        }
        for engine in &mut engines {
            for done in engine.advance(now, |r| requests[r].stream_ms) {
                let request = &requests[done];
                first_event_ms[done] = Some(now - request.arrival_ms + 1);
                let (e, prompt) = placed[done];
                views[request.daemon][e].backlog -= prompt;
                streaming.push((now + request.stream_ms, done));
            }
        }
        streaming.retain(|(end, done)| {
            if *end <= now {
                views[requests[*done].daemon][placed[*done].0].in_flight -= 1;
            }
            *end > now
        });
    }
    summarize(&requests, &first_event_ms, &engines)
}

/// Computes the results of a run. A request without a first event counts with the timeout.
fn summarize(
    requests: &[load::Request],
    first_event_ms: &[Option<u64>],
    engines: &[Engine],
) -> Stats {
    let on_time_count = requests
        .iter()
        .zip(first_event_ms)
        .filter(|(r, t)| t.is_some_and(|t| t as f64 <= r.kind.objective_ms))
        .count();
    let mut sorted: Vec<u64> = first_event_ms
        .iter()
        .map(|t| t.unwrap_or(FIRST_EVENT_TIMEOUT_MS))
        .collect();
    sorted.sort_unstable();
    let percentile = |percent: usize| {
        sorted
            .get((sorted.len().max(1) - 1) * percent / 100)
            .copied()
    };
    Stats {
        on_time: on_time_count as f64 / requests.len().max(1) as f64,
        median_ms: percentile(50).unwrap_or(0),
        p95_ms: percentile(95).unwrap_or(0),
        reread_tokens: engines.iter().map(|e| e.reread_tokens).sum(),
    }
}

/// Prints a table of all shapes and policies at one load.
fn print_table(seed: u64, factor: f64) {
    println!("load {factor} times the described rates, seed {seed}\n");
    println!("| shape | policy | on time | median ms | p95 ms | 1,000 tokens read again |");
    println!("|---|---|---|---|---|---|");
    for (shape, shape_name) in LoadShape::ALL {
        for (policy, name) in Policy::ALL {
            let r = simulate(seed, shape, factor, policy);
            println!(
                "| {shape_name} | {name} | {:.3} | {} | {} | {} |",
                r.on_time,
                r.median_ms,
                r.p95_ms,
                r.reread_tokens / 1000
            );
        }
    }
}

/// Draws the share of requests on time over the load for each policy, under the wave shape.
fn draw_plot(path: &Path, seed: u64) -> Result<(), Report<PlotError>> {
    let root = SVGBackend::new(path, (800, 500)).into_drawing_area();
    root.fill(&WHITE).change_context(PlotError)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(
            PLOT_FACTORS[0]..PLOT_FACTORS[PLOT_FACTORS.len() - 1],
            0.0..1.0,
        )
        .change_context(PlotError)?;
    chart
        .configure_mesh()
        .x_desc("load, as a factor on the described rates")
        .y_desc("first event within the objective")
        .draw()
        .change_context(PlotError)?;
    for (i, (policy, name)) in Policy::ALL.into_iter().enumerate() {
        let points: Vec<(f64, f64)> = PLOT_FACTORS
            .into_iter()
            .map(|f| (f, simulate(seed, LoadShape::Wave, f, policy).on_time))
            .collect();
        let color = Palette99::pick(i).mix(1.0);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .change_context(PlotError)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .change_context(PlotError)?;
    root.present().change_context(PlotError)?;
    Ok(())
}

fn main() -> Result<(), Report<PlotError>> {
    let matches = Command::new("cuminloom-experiments")
        .about("Simulates loads against the placement of cuminloom and against baselines.")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load"),
        )
        .arg(
            Arg::new("factor")
                .long("factor")
                .default_value("1.5")
                .value_parser(value_parser!(f64))
                .help("Load of the table, as a factor on the rates of the workload description"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw the share of requests on time over the load as an SVG file"),
        )
        .get_matches();
    let seed = *matches.get_one("seed").unwrap_or(&1);
    print_table(seed, *matches.get_one("factor").unwrap_or(&1.5));
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        draw_plot(path, seed)?;
        println!("\nplot: {}", path.display());
    }
    Ok(())
}
