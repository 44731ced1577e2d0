//! Line plots as SVG.

use std::path;

use plotters::prelude::*;

/// A plot with one or more lines.
#[derive(Debug, Clone)]
pub struct Plot {
    /// Title.
    pub title: String,
    /// What the horizontal axis shows, with its unit.
    pub x: String,
    /// What the vertical axis shows, with its unit.
    pub y: String,
    /// The lines.
    pub lines: Vec<Line>,
}

/// One line of a plot.
#[derive(Debug, Clone)]
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its points, by x.
    pub points: Vec<(f64, f64)>,
}

type Failure = Box<dyn std::error::Error>;

impl Plot {
    /// Width and height in pixels.
    const SIZE: (u32, u32) = (900, 500);
    /// Margin in pixels.
    const MARGIN: u32 = 20;
    /// Room for the axes' labels, in pixels.
    const LABELS: u32 = 50;

    /// Draws the plot into `file`.
    ///
    /// # Errors
    /// The error of the drawing or of the operating system.
    pub fn draw(&self, file: &path::Path) -> Result<(), Failure> {
        let root = SVGBackend::new(file, Self::SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let (x, y) = self.ranges();
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 18))
            .margin(Self::MARGIN)
            .x_label_area_size(Self::LABELS)
            .y_label_area_size(Self::LABELS + Self::MARGIN)
            .build_cartesian_2d(0.0..x, 0.0..y)?;
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .draw()?;
        for (number, line) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            let series = LineSeries::new(line.points.iter().copied(), &colour);
            let drawn = chart.draw_series(series)?;
            drawn.label(&line.name).legend(move |(x, y)| {
                PathElement::new([(x, y), (x + Self::MARGIN.cast_signed(), y)], colour)
            });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }

    /// Ends of the axes.
    fn ranges(&self) -> (f64, f64) {
        let points = self.lines.iter().flat_map(|line| &line.points);
        let largest = points.fold((0.0_f64, 0.0_f64), |(x, y), point| {
            (x.max(point.0), y.max(point.1))
        });
        let room = |end: f64| if end > 0.0 { end * 1.05 } else { 1.0 };
        (room(largest.0), room(largest.1))
    }
}
