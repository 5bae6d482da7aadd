package firwheel.bench;

import java.util.List;
import java.util.Locale;

/** Renders line plots side by side in one SVG image. */
public final class SvgPlot {
    private static final int WIDTH = 300;
    private static final int HEIGHT = 240;
    private static final int MARGIN = 48;
    private static final int LEGEND_LINE_HEIGHT = 16;
    private static final String[] COLOURS = {"#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377"};

    private SvgPlot() {}

    /** A named line; {@code x} and {@code y} hold the coordinates of its points and have the same length. */
    public record Series(String name, List<Double> x, List<Double> y) {
        public Series {
            x = List.copyOf(x);
            y = List.copyOf(y);
            if (x.size() != y.size()) {
                throw new IllegalArgumentException("x and y have different lengths");
            }
        }
    }

    /** One plot. Values above {@code maxY} are drawn at the upper edge. */
    public record Panel(String title, String xLabel, String yLabel, double maxY, List<Series> series) {
        public Panel {
            series = List.copyOf(series);
        }
    }

    /** Renders the panels; the legend shows the series of the first panel, so all panels must list the same series. */
    public static String render(List<Panel> panels) {
        List<Series> legend = panels.get(0).series();
        int height = HEIGHT + legend.size() * LEGEND_LINE_HEIGHT;
        StringBuilder svg = new StringBuilder();
        svg.append(format(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"11\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                panels.size() * WIDTH, height));
        for (int i = 0; i < panels.size(); i++) {
            svg.append(format("<g transform=\"translate(%d,0)\">%n", i * WIDTH));
            drawPanel(svg, panels.get(i));
            svg.append("</g>\n");
        }
        for (int i = 0; i < legend.size(); i++) {
            int y = HEIGHT + i * LEGEND_LINE_HEIGHT;
            svg.append(format(
                    "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
                    MARGIN, y, colour(i), legend.get(i).name()));
        }
        return svg.append("</svg>\n").toString();
    }

    private static void drawPanel(StringBuilder svg, Panel panel) {
        double maxX = panel.series().stream()
                .flatMap(series -> series.x().stream())
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(1);
        svg.append(format(
                "<polyline points=\"%d,%d %d,%d %d,%d\" fill=\"none\" stroke=\"black\"/>%n",
                MARGIN, MARGIN, MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN / 2, HEIGHT - MARGIN));
        svg.append(format("<text x=\"%d\" y=\"%d\">%s</text>%n", MARGIN, MARGIN / 2, panel.title()));
        svg.append(format("<text x=\"%d\" y=\"%d\">%s</text>%n", MARGIN, MARGIN - 6, panel.yLabel()));
        svg.append(format("<text x=\"%d\" y=\"%d\">%s</text>%n", WIDTH / 2, HEIGHT - MARGIN + 28, panel.xLabel()));
        svg.append(format("<text x=\"4\" y=\"%d\">%.2f</text>%n", MARGIN + 4, panel.maxY()));
        svg.append(format("<text x=\"%d\" y=\"%d\">%.1f</text>%n", WIDTH - MARGIN, HEIGHT - MARGIN + 14, maxX));
        for (int i = 0; i < panel.series().size(); i++) {
            drawSeries(svg, panel.series().get(i), maxX, panel.maxY(), colour(i));
        }
    }

    private static void drawSeries(StringBuilder svg, Series series, double maxX, double maxY, String colour) {
        StringBuilder points = new StringBuilder();
        for (int i = 0; i < series.x().size(); i++) {
            double x = MARGIN + series.x().get(i) / maxX * (WIDTH - 1.5 * MARGIN);
            double share = Math.min(1, series.y().get(i) / maxY);
            points.append(format("%.1f,%.1f ", x, HEIGHT - MARGIN - share * (HEIGHT - 2.0 * MARGIN)));
        }
        svg.append(
                format("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>%n", points, colour));
    }

    private static String colour(int series) {
        return COLOURS[series % COLOURS.length];
    }

    private static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
