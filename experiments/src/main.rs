//! Replays loads against the placement of cuminloom and against baselines. Prints tables, and draws
//! the time to the first event over the load.

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
    Random,
    Shape,
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
    Policy,
    View, //
};

/// The plot could not be drawn.
#[derive(Debug)]
struct PlotFault;

impl fmt::Display for PlotFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the plot can't be drawn")
    }
}

impl std::error::Error for PlotFault {}

/// Daemons, as on the first site.
const DAEMONS: usize = 7;

/// Engines, as on the first site.
const ENGINES: usize = 9;

/// Length of one run, in seconds.
const SECONDS: u64 = 60;

/// Time after which a request without a first event counts as lost, in milliseconds.
const PATIENCE_MS: u64 = 15_000;

/// Loads of the plot, as factors of the sheet's rates.
const FACTORS: [f64; 6] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0];

/// What a run has come to.
#[derive(Clone, Copy, Debug)]
struct Figures {
    on_time: f64,
    median: u64,
    p95: u64,
    again: u64,
}

fn play(seed: u64, shape: Shape, factor: f64, policy: Policy) -> Figures {
    let requests = generate(seed, shape, factor, SECONDS, DAEMONS);
    let names: Vec<String> = (0..ENGINES).map(|i| format!("engine-{i}")).collect();
    let mut random = Random::new(seed + 1);
    let mut engines = vec![Engine::default(); ENGINES];
    let mut views = vec![vec![View::default(); ENGINES]; DAEMONS];
    let mut placed = vec![(0, 0); requests.len()];
    let mut times: Vec<Option<u64>> = vec![None; requests.len()];
    let mut leaving: Vec<(u64, usize)> = Vec::new();
    let mut turns = [0; DAEMONS];
    let mut next = 0;
    for now in 0..SECONDS * 1000 + PATIENCE_MS {
        while next < requests.len() && requests[next].at == now {
            let request = &requests[next];
            for (view, engine) in views[request.daemon].iter_mut().zip(&engines) {
                view.report = engine.report();
            }
            turns[request.daemon] += 1;
            let turn = turns[request.daemon];
            let e = policy.choose(request, &views[request.daemon], &names, turn, &mut random);
            let elsewhere = engines.iter().any(|x| x.keeps(request.subject, now));
            let prompt = request.own + request.kind.shared;
            let view = &mut views[request.daemon][e];
            view.flying += 1;
            view.backlog += prompt;
            placed[next] = (e, prompt);
            engines[e].take(
                next,
                request.subject,
                request.kind.shared,
                request.own,
                elsewhere,
                now,
            );
            next += 1;
        }
        for engine in &mut engines {
            for done in engine.step(now, |r| requests[r].stream) {
                let request = &requests[done];
                times[done] = Some(now - request.at + 1);
                let (e, prompt) = placed[done];
                views[request.daemon][e].backlog -= prompt;
                leaving.push((now + request.stream, done));
            }
        }
        leaving.retain(|(end, done)| {
            if *end <= now {
                views[requests[*done].daemon][placed[*done].0].flying -= 1;
            }
            *end > now
        });
    }
    summary(&requests, &times, &engines)
}

fn summary(requests: &[load::Request], times: &[Option<u64>], engines: &[Engine]) -> Figures {
    let in_time = requests
        .iter()
        .zip(times)
        .filter(|(r, t)| t.is_some_and(|t| t as f64 <= r.kind.objective_ms))
        .count();
    let mut sorted: Vec<u64> = times.iter().map(|t| t.unwrap_or(PATIENCE_MS)).collect();
    sorted.sort_unstable();
    let at = |part: usize| sorted.get((sorted.len().max(1) - 1) * part / 100).copied();
    Figures {
        on_time: in_time as f64 / requests.len().max(1) as f64,
        median: at(50).unwrap_or(0),
        p95: at(95).unwrap_or(0),
        again: engines.iter().map(|e| e.again).sum(),
    }
}

fn table(seed: u64, factor: f64) {
    println!("load {factor} times the sheet, seed {seed}\n");
    println!("| shape | policy | on time | median ms | p95 ms | 1,000 tokens read again |");
    println!("|---|---|---|---|---|---|");
    for (shape, shape_name) in Shape::ALL {
        for (policy, name) in Policy::ALL {
            let r = play(seed, shape, factor, policy);
            println!(
                "| {shape_name} | {name} | {:.3} | {} | {} | {} |",
                r.on_time,
                r.median,
                r.p95,
                r.again / 1000
            );
        }
    }
}

fn plot(path: &Path, seed: u64) -> Result<(), Report<PlotFault>> {
    let root = SVGBackend::new(path, (800, 500)).into_drawing_area();
    root.fill(&WHITE).change_context(PlotFault)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(FACTORS[0]..FACTORS[FACTORS.len() - 1], 0.0..1.0)
        .change_context(PlotFault)?;
    chart
        .configure_mesh()
        .x_desc("load, times the sheet")
        .y_desc("first event within the objective")
        .draw()
        .change_context(PlotFault)?;
    for (i, (policy, name)) in Policy::ALL.into_iter().enumerate() {
        let points: Vec<(f64, f64)> = FACTORS
            .into_iter()
            .map(|f| (f, play(seed, Shape::Wave, f, policy).on_time))
            .collect();
        let color = Palette99::pick(i).mix(1.0);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .change_context(PlotFault)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .change_context(PlotFault)?;
    root.present().change_context(PlotFault)?;
    Ok(())
}

fn main() -> Result<(), Report<PlotFault>> {
    let matches = Command::new("cuminloom-experiments")
        .about("Replays loads against the placement of cuminloom and against baselines.")
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
                .help("Load of the table, times the users' sheet"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw the share on time over the load as an SVG"),
        )
        .get_matches();
    let seed = *matches.get_one("seed").unwrap_or(&1);
    table(seed, *matches.get_one("factor").unwrap_or(&1.5));
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        plot(path, seed)?;
        println!("\nplot: {}", path.display());
    }
    Ok(())
}
