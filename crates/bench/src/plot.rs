//! Plots the latencies of a load as SVG.

use std::fmt::Display;

use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, IntoLogRange, LineSeries, RED, SVGBackend, ShapeStyle,
    WHITE,
};

use crate::{
    error::{BenchError, BenchErrorKind},
    load::{LoadSample, SampleKind},
};

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (800, 400);

/// Size of the axis label areas in pixels.
const LABEL_SIZE: u32 = 50;

/// Maximum number of points of a curve.
const CURVE_POINTS: usize = 200;

/// Draws the fraction of requests that took longer than each latency, on
/// logarithmic axes. Searches are blue, orders are red.
///
/// # Errors
///
/// Fails when the plot cannot be drawn.
pub fn plot_latencies(samples: &[LoadSample]) -> Result<String, BenchError> {
    let searches = tail_curve(samples, SampleKind::Search);
    let orders = tail_curve(samples, SampleKind::Order);
    let points = || searches.iter().chain(&orders);
    let longest = points().map(|(latency, _)| *latency).fold(10.0, f64::max);
    let least = points().map(|(_, share)| *share).fold(0.1, f64::min);
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .x_label_area_size(LABEL_SIZE)
            .y_label_area_size(LABEL_SIZE)
            .build_cartesian_2d((1.0..longest).log_scale(), (least..1.0).log_scale())
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("latency in milliseconds")
            .y_desc("share of requests above")
            .draw()
            .map_err(plot_error)?;
        for (curve, color) in
            [(searches, ShapeStyle::from(&BLUE)), (orders, ShapeStyle::from(&RED))]
        {
            chart.draw_series(LineSeries::new(curve, color)).map_err(plot_error)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(text)
}

/// Returns points of a latency in milliseconds and the fraction of requests that
/// took longer.
fn tail_curve(samples: &[LoadSample], kind: SampleKind) -> Vec<(f64, f64)> {
    let latencies = samples.iter().filter(|sample| sample.kind == kind);
    let mut latencies: Vec<f64> =
        latencies.map(|sample| sample.latency.as_secs_f64() * 1e3).collect();
    latencies.sort_by(f64::total_cmp);
    let count = latencies.len();
    let mut curve = Vec::new();
    for point in 0..CURVE_POINTS.min(count) {
        // Logarithmic spacing, so that the points are spread evenly over the axis
        // and cover the tail.
        let share = (1.0 / count as f64).powf(point as f64 / CURVE_POINTS as f64);
        let position = ((1.0 - share) * count as f64) as usize;
        curve.push((latencies[position.min(count - 1)].max(1.0), share));
    }
    curve
}

fn plot_error(error: impl Display) -> BenchError {
    BenchError::new(BenchErrorKind::Output, format!("plot: {error}"))
}
