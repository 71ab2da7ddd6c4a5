//! Results page: one HTML file with tables and SVG plots of the reports of several runs. It loads
//! no external resources.

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoSegmentedCoord, RGBColor, Rectangle, SVGBackend,
    SegmentValue, WHITE,
};
use plotters::style::Color;
use quick_error::quick_error;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

const PLOT_SIZE: (u32, u32) = (320, 200);
const BASELINE_COLOUR: RGBColor = RGBColor(150, 150, 150);
const PRODUCT_COLOUR: RGBColor = RGBColor(30, 100, 180);
const TARGET_COLOUR: RGBColor = RGBColor(200, 60, 40);
/// Height of the value axis relative to the highest bar or target.
const HEADROOM: f64 = 1.15;
const STYLE: &str = "body{font:15px sans-serif;max-width:70em;margin:2em auto}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}\
    td:first-child,th:first-child{text-align:left}.missed{color:#c00}.met{color:#080}";

quick_error! {
    /// Error while reading reports or writing the results page.
    #[derive(Debug)]
    #[allow(unreachable_pub)] // quick_error knows only private and fully public types
    pub enum PageError {
        /// A file cannot be read or written.
        Io(path: PathBuf, source: io::Error) {
            display("{}: {}", path.display(), source)
            source(source)
        }
        /// The last line of a file is not a report.
        Report(path: PathBuf, source: serde_json::Error) {
            display("{}: {}", path.display(), source)
            source(source)
        }
        /// A plot cannot be drawn.
        Plot(detail: String) { display("plot: {}", detail) }
    }
}

/// A [`Report`](crate::report::Report) read from its JSON line.
#[derive(Deserialize)]
struct StoredReport {
    experiment: String,
    seed: u64,
    target: Map<String, Value>,
    baseline: Map<String, Value>,
    product: Map<String, Value>,
    pass: bool,
}

/// Reads the report on the last line of each `*.json` file of a directory, writes `report.html`
/// into the directory and returns the path of the page.
///
/// # Errors
///
/// Returns [`PageError`] if a file cannot be read or written or holds no report, or if a plot
/// cannot be drawn.
pub(crate) fn write_page(directory: &Path) -> Result<PathBuf, PageError> {
    let io_error = |path: &Path| {
        let path = path.to_owned();
        move |source| PageError::Io(path, source)
    };
    let entries = fs::read_dir(directory).map_err(io_error(directory))?;
    let mut files: Vec<_> = entries
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "json")
        })
        .collect();
    files.sort();
    let mut body = String::new();
    for file in files {
        let text = fs::read_to_string(&file).map_err(io_error(&file))?;
        let line = text.trim_end().lines().next_back().unwrap_or_default();
        let report = serde_json::from_str(line).map_err(|e| PageError::Report(file.clone(), e))?;
        write_section(&mut body, &report)?;
    }
    let page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>anvilgw experiments</title><style>{STYLE}</style></head>\n\
         <body><h1>Experiments</h1>\n<p>Grey: baseline. Blue: product. Red line: target.</p>\n\
         {body}</body></html>\n"
    );
    let path = directory.join("report.html");
    fs::write(&path, page).map_err(io_error(&path))?;
    Ok(path)
}

/// Appends heading, plots and table of one report. Figures of the product that have a target of the
/// same name are plotted.
fn write_section(body: &mut String, report: &StoredReport) -> Result<(), PageError> {
    let (class, verdict) = match report.pass {
        true => ("met", "targets met"),
        false => ("missed", "target missed"),
    };
    let name = escape_html(&report.experiment);
    // Writing to a string cannot fail.
    let _ = writeln!(
        body,
        "<h2>{name} <small class=\"{class}\">{verdict}, seed {}</small></h2>",
        report.seed
    );
    for (figure, product) in &report.product {
        if let Some(product) = product.as_f64()
            && let Some(target) = report.target.get(figure).and_then(Value::as_f64)
        {
            let baseline = report.baseline.get(figure).and_then(Value::as_f64);
            body.push_str(&render_plot(figure, baseline, product, target)?);
        }
    }
    body.push_str(
        "<table><tr><th>figure</th><th>target</th><th>baseline</th><th>product</th></tr>\n",
    );
    let mut names: Vec<_> = report
        .product
        .keys()
        .chain(report.baseline.keys())
        .collect();
    names.sort();
    names.dedup();
    for figure in names {
        let cells =
            [&report.target, &report.baseline, &report.product].map(|f| format_cell(f.get(figure)));
        let _ = writeln!(
            body,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            escape_html(figure),
            cells[0],
            cells[1],
            cells[2]
        );
    }
    body.push_str("</table>\n");
    Ok(())
}

/// Formats a figure for a table: floats with three decimals, everything else as JSON.
fn format_cell(value: Option<&Value>) -> String {
    match value {
        None => String::new(),
        Some(Value::Number(number)) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        Some(value) => escape_html(&value.to_string()),
    }
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Returns an SVG plot of baseline and product as bars, with the target as a line.
fn render_plot(
    name: &str,
    baseline: Option<f64>,
    product: f64,
    target: f64,
) -> Result<String, PageError> {
    let mut svg = String::new();
    draw_plot(&mut svg, name, baseline, product, target)
        .map_err(|error| PageError::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw_plot(
    svg: &mut String,
    name: &str,
    baseline: Option<f64>,
    product: f64,
    target: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let top = baseline.unwrap_or(0.0).max(product).max(target) * HEADROOM;
    let top = if top > 0.0 { top } else { 1.0 };
    let labels = ["baseline", "product"];
    let mut chart = ChartBuilder::on(&area)
        .caption(name, ("sans-serif", 14, &BLACK))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d((0usize..1).into_segmented(), 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_formatter(&|x| match x {
            SegmentValue::CenterOf(index) => labels.get(*index).copied().unwrap_or("").to_owned(),
            _ => String::new(),
        })
        .draw()?;
    let bar = |index: usize, value: f64, colour: RGBColor| {
        let corners = [
            (SegmentValue::Exact(index), 0.0),
            (SegmentValue::Exact(index + 1), value),
        ];
        let mut bar = Rectangle::new(corners, colour.filled());
        bar.set_margin(0, 0, 20, 20);
        bar
    };
    let bars = baseline.map(|value| bar(0, value, BASELINE_COLOUR));
    chart.draw_series(bars.into_iter().chain([bar(1, product, PRODUCT_COLOUR)]))?;
    let line = [
        (SegmentValue::Exact(0), target),
        (SegmentValue::Exact(2), target),
    ];
    chart.draw_series([Rectangle::new(line, TARGET_COLOUR.stroke_width(2))])?;
    area.present()?;
    Ok(())
}
