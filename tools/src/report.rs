//! Reports the trade-off between idle accelerator hours and cold starts as a table and a plot.

use std::path::Path;
use std::thread;
use std::time::Duration;

use comfreymux_lib::keep_warm::KeepWarmPolicy;
use plotters::prelude::*;

use crate::experiment;
use crate::experiment::Outcome;
use crate::workload::Arrival;
use crate::workload::Deployment;
use crate::world::Breach;

/// Keep-warm times of the baselines, in seconds; the first is longer than any run and means never unloading.
const FIXED_KEEP_WARM_S: [u64; 7] = [10_000_000, 7200, 3600, 1800, 600, 120, 0];

/// Runs the baselines and, for each idle price, the learned policy on one workload, each on its own thread.
///
/// # Errors
///
/// An invariant was violated.
///
/// # Panics
///
/// Panics if a run panics.
pub fn compare(
    deployment: &Deployment,
    seed: u64,
    arrivals: &[Arrival],
    prices: &[f64],
) -> Result<Vec<Outcome>, Breach> {
    let fixed = FIXED_KEEP_WARM_S.map(|s| {
        let name = match s {
            0 => "at once".to_owned(),
            10_000_000 => "never unload".to_owned(),
            _ => format!("fixed {s}s"),
        };
        (name, deployment.clone(), KeepWarmPolicy::Fixed(Duration::from_secs(s)))
    });
    let learned = prices.iter().map(|price| {
        let variant = Deployment { idle_price: *price, ..deployment.clone() };
        (format!("learned, price {price}"), variant, KeepWarmPolicy::Learned)
    });
    let runs: Vec<_> = fixed.into_iter().chain(learned).collect();
    thread::scope(|scope| {
        let start = |(name, deployment, policy): &(String, Deployment, KeepWarmPolicy)| {
            let (name, deployment, policy) = (name.clone(), deployment.clone(), *policy);
            scope.spawn(move || experiment::run(&name, &deployment, policy, seed, arrivals))
        };
        let threads: Vec<_> = runs.iter().map(start).collect();
        threads.into_iter().map(|t| t.join().expect("a run does not panic")).collect()
    })
}

/// Returns a lower bound for every keep-warm policy as points of (idle hours, cold starts): the least idle
/// hours for each number of cold starts, if the gaps between requests of each model were known in advance.
///
/// The model stays loaded through the shortest gaps first. Gaps are weighted by the model's share of an
/// accelerator. Running requests do not delay others here, so the bound is slightly too optimistic.
pub fn bound(deployment: &Deployment, arrivals: &[Arrival]) -> Vec<(f64, f64)> {
    let table = deployment.table();
    let mut gaps = Vec::new();
    let mut firsts = 0;
    for row in &table {
        let share = row.memory_mib as f64 / crate::workload::ACCELERATOR_MIB as f64;
        let mut free: Option<u64> = None;
        for a in arrivals.iter().filter(|a| a.model == row.name) {
            match free {
                None => firsts += 1,
                Some(free) if a.at_ms > free => {
                    gaps.push((a.at_ms - free) as f64 / 3_600_000.0 * share);
                }
                Some(_) => {}
            }
            free = free.max(Some(a.at_ms + a.run_ms));
        }
    }
    gaps.sort_by(f64::total_cmp);
    let mut points = vec![(0.0, (gaps.len() + firsts) as f64)];
    let mut idle = 0.0;
    for (i, gap) in gaps.iter().enumerate() {
        idle += gap;
        points.push((idle, (gaps.len() - i - 1 + firsts) as f64));
    }
    points
}

/// Returns, for each outcome, the lower bound of idle hours at its number of loads.
pub fn bound_table(deployment: &Deployment, arrivals: &[Arrival], outcomes: &[Outcome]) -> String {
    let points = bound(deployment, arrivals);
    let least = |colds: f64| points.iter().find(|p| p.1 <= colds).map_or(f64::NAN, |p| p.0);
    let lines = outcomes.iter().map(|o| {
        let least = least(o.loads as f64);
        format!("{:<22} {:>8.1} {:>8.1}\n", o.name, o.idle_hours, least)
    });
    let head = format!("{:<22} {:>8} {:>8}\n", "with as many loads", "idle h", "bound h");
    head + &lines.collect::<String>()
}

/// Returns the outcomes as lines of a table.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut out = format!(
        "{:<22} {:>8} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>6} {:>7} {:>7}\n",
        "policy",
        "requests",
        "cold",
        "p50 s",
        "p95 s",
        "p99 s",
        "worst",
        "all p99",
        "wait h",
        "idle h",
        "loads",
        "refused",
        "expired"
    );
    out += &outcomes.iter().map(line).collect::<String>();
    out
}

fn line(o: &Outcome) -> String {
    format!(
        "{:<22} {:>8} {:>6} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>8.2} {:>8.1} {:>6} {:>7} {:>7}\n",
        o.name,
        o.requests,
        o.cold,
        o.cold_p50,
        o.cold_p95,
        o.cold_p99,
        o.cold_worst,
        o.all_p99,
        o.wait_hours,
        o.idle_hours,
        o.loads,
        o.refused,
        o.expired
    )
}

/// Plots idle hours against waiting hours as an SVG file.
///
/// # Errors
///
/// The file cannot be written.
pub fn plot(
    path: &Path,
    title: &str,
    outcomes: &[Outcome],
) -> Result<(), Box<dyn std::error::Error>> {
    let most = |f: fn(&Outcome) -> f64| outcomes.iter().map(f).fold(1.0, f64::max) * 1.1;
    let (width, height) = (most(|o| o.idle_hours), most(|o| o.wait_hours));
    let area = SVGBackend::new(path, (900, 600)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(15)
        .caption(title, ("sans-serif", 20))
        .x_label_area_size(45)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc("hours that callers waited for a replica")
        .draw()?;
    for (learned, colour) in [(false, BLUE), (true, RED)] {
        let chosen: Vec<&Outcome> =
            outcomes.iter().filter(|o| o.name.starts_with("learned") == learned).collect();
        let points = || chosen.iter().map(|o| (o.idle_hours, o.wait_hours));
        chart.draw_series(LineSeries::new(points(), colour))?;
        chart.draw_series(points().map(|p| Circle::new(p, 4, colour.filled())))?;
        chart.draw_series(chosen.iter().map(|o| {
            Text::new(o.name.clone(), (o.idle_hours, o.wait_hours), ("sans-serif", 12))
        }))?;
    }
    area.present()?;
    Ok(())
}
