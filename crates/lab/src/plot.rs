//! Plots as SVG files.

use std::path::Path;

use anyhow::Context;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::Rectangle;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::style::RGBColor;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Width of the areas for axis labels at the left and the bottom, in pixels.
const LABEL_AREA: u32 = 48;
/// Fraction of the width of a group of bars that is left free as a gap.
const GAP: f64 = 0.1;
/// Height of the axis as a multiple of the highest value.
const HEADROOM: f64 = 1.1;

/// A named series of a bar plot, with a value for each label.
pub(crate) struct BarSeries {
    pub(crate) name: String,
    pub(crate) values: Vec<f64>,
}

/// A named line of a plot.
pub(crate) struct Curve {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Writes a plot with a group of bars for each label; writes nothing if there
/// are no labels or no series.
///
/// # Errors
///
/// The file can't be written.
pub(crate) fn write_bars(
    file: &Path,
    title: &str,
    labels: &[String],
    series: &[BarSeries],
) -> anyhow::Result<()> {
    if labels.is_empty() || series.is_empty() {
        return Ok(());
    }
    let top = axis_end(series.iter().flat_map(|s| s.values.iter().copied()));
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .set_all_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..to_f64(labels.len()), 0.0..top)?;
    // The axis is hidden, and labels are drawn below, since its ticks can't be
    // in the middle of a group of bars.
    chart.configure_mesh().disable_x_mesh().disable_x_axis().draw()?;
    let width = (1.0 - GAP) / to_f64(series.len());
    for (n, bar_series) in series.iter().enumerate() {
        let color = color(n);
        let bars = bar_series.values.iter().enumerate().map(|(group, value)| {
            let left = to_f64(group) + GAP / 2.0 + width * to_f64(n);
            Rectangle::new([(left, 0.0), (left + width, *value)], color.filled())
        });
        let annotated = chart.draw_series(bars)?.label(bar_series.name.as_str());
        annotated
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    for (group, label) in labels.iter().enumerate() {
        let middle = chart.backend_coord(&(to_f64(group) + 0.5, 0.0));
        let style = ("sans-serif", 13).into();
        let position = (middle.0 - i32::try_from(label.len() * 3).unwrap_or(0), middle.1 + 8);
        root.draw_text(label, &style, position)?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    root.present().with_context(|| format!("can't write {}", file.display()))
}

/// Writes a plot with lines; writes nothing if no line has a point.
///
/// # Errors
///
/// The file can't be written.
pub(crate) fn write_curves(
    file: &Path,
    title: &str,
    axes: [&str; 2],
    curves: &[Curve],
) -> anyhow::Result<()> {
    let points = || curves.iter().flat_map(|curve| curve.points.iter().copied());
    if points().next().is_none() {
        return Ok(());
    }
    let (right, top) = (axis_end(points().map(|p| p.0)), axis_end(points().map(|p| p.1)));
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .set_all_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(axes[0]).y_desc(axes[1]).draw()?;
    for (n, curve) in curves.iter().enumerate() {
        let color = color(n);
        let line = LineSeries::new(curve.points.iter().copied(), color.stroke_width(2));
        let annotated = chart.draw_series(line)?.label(curve.name.as_str());
        annotated.legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    root.present().with_context(|| format!("can't write {}", file.display()))
}

fn color(n: usize) -> RGBColor {
    let (r, g, b) = Palette99::COLORS[n % Palette99::COLORS.len()];
    RGBColor(r, g, b)
}

/// Returns the end of an axis that has room for all values.
fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(f64::MIN_POSITIVE, f64::max) * HEADROOM
}

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
