//! JSON and one HTML page with plots.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::arms::{ArmReport, DEFAULT_SLOTS, ONLINE_ALONE};
use super::definition::Experiment;

const PLOT_SIZE: (u32, u32) = (760, 420);

/// Writes both files.
pub fn write_reports(experiment: &Experiment, reports: &[ArmReport], output: &Path) -> Result<()> {
    let json = serde_json::json!({"experiment": experiment, "arms": reports});
    let text = serde_json::to_string_pretty(&json)?;
    std::fs::write(output.join("report.json"), text)?;
    std::fs::write(output.join("report.html"), page(experiment, reports)?)?;
    Ok(())
}

fn page(experiment: &Experiment, reports: &[ArmReport]) -> Result<String> {
    let mut rows = String::new();
    for report in reports {
        rows.push_str(&format!(
            "<tr><td>{}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td><td>{:.3}</td><td>{:.3}</td>\
             <td>{:.1}</td><td>{:.0}</td><td>{:.3}</td><td>{:.4}</td><td>{:.0}</td><td>{:.3}</td></tr>\n",
            report.name,
            report.first_token_ms.p50,
            report.first_token_ms.p99,
            report.first_token_ms.p999,
            report.between_tokens_ms.p95,
            report.harm_p99,
            report.harm_p999,
            report.batch_items_per_second,
            report.batch_tokens_per_second,
            report.share_of_idle,
            report.wasted_share,
            report.longest_yield_ms,
            report.cache_hit_rate
        ));
    }
    Ok(format!(
        "<!doctype html><meta charset=utf-8><title>{name}</title>\
         <style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:.2em .6em;text-align:right}}\
         td:first-child{{text-align:left}}tr:nth-child(even){{background:#f2f2f2}}</style>\
         <h1>{name}</h1><p>{replicas} replicas, {seconds} s, {rate} online requests a second, seed {seed}.</p>\
         <h2>Harm against throughput</h2>{frontier}<h2>Arms</h2><table><tr><th>arm<th>first token p50 ms<th>p99\
         <th>p99.9<th>between tokens p95 ms<th>harm p99<th>harm p99.9<th>items/s<th>tokens/s<th>of idle\
         <th>wasted<th>longest yield ms<th>cache hits</tr>{rows}</table>",
        name = experiment.name,
        replicas = experiment.replicas,
        seconds = experiment.seconds,
        rate = experiment.online.rate,
        seed = experiment.seed,
        frontier = frontier(reports)?,
    ))
}

/// Plots harm against the share of idle capacity used, one point an arm.
fn frontier(reports: &[ArmReport]) -> Result<String> {
    let points: Vec<&ArmReport> = reports
        .iter()
        .filter(|report| report.harm_p99 > 0.0)
        .filter(|report| report.batch_tokens_per_second > 0.0 || report.name == ONLINE_ALONE)
        .collect();
    let most_harm = points
        .iter()
        .map(|point| point.harm_p99)
        .fold(1.1, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let wrong = |error: &dyn std::fmt::Display| eyre!("plot: {error}");
        area.fill(&WHITE).map_err(|error| wrong(&error))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(42)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..1.25, 0.95..most_harm * 1.05)
            .map_err(|error| wrong(&error))?;
        chart
            .configure_mesh()
            .x_desc("batch throughput / idle bound")
            .y_desc("harm: p99 first token / online alone")
            .draw()
            .map_err(|error| wrong(&error))?;
        let slots: Vec<&&ArmReport> = points
            .iter()
            .filter(|point| point.name.starts_with("slots"))
            .collect();
        let mut line: Vec<(f64, f64)> = slots
            .iter()
            .map(|point| (point.share_of_idle, point.harm_p99))
            .collect();
        line.sort_by(|a, b| a.0.total_cmp(&b.0));
        chart
            .draw_series(LineSeries::new(line, &BLUE))
            .map_err(|error| wrong(&error))?;
        for point in points {
            let color = if point.name == DEFAULT_SLOTS {
                RED
            } else {
                BLUE
            };
            let place = (point.share_of_idle, point.harm_p99);
            let dot = EmptyElement::at(place)
                + Circle::new((0, 0), 4, color.filled())
                + Text::new(point.name.clone(), (7, -5), ("sans-serif", 12));
            chart
                .draw_series(std::iter::once(dot))
                .map_err(|error| wrong(&error))?;
        }
        area.present().map_err(|error| wrong(&error))?;
    }
    Ok(svg)
}
