package firwheel.bench.experts;

import java.util.List;
import java.util.Locale;

/** Renders the skew of each round as an SVG plot with one line per planner. */
final class SkewPlot {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 400;
    private static final int MARGIN = 50;
    private static final List<String> COLOURS =
            List.of("#888888", "#1f77b4", "#2ca02c", "#9467bd", "#8c564b", "#d62728");

    private SkewPlot() {}

    static String svg(List<PlannerResult> results) {
        double max = 0;
        for (PlannerResult result : results) {
            for (double seconds : result.skewSecondsByRound()) {
                max = Math.max(max, seconds);
            }
        }
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\""
                        + " font-size=\"11\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH,
                HEIGHT));
        svg.append(text(MARGIN, 20, "skew of a step, 0 to " + String.format(Locale.ROOT, "%.2f ms", 1e3 * max)));
        svg.append(text(WIDTH - 2 * MARGIN, HEIGHT - 15, "round"));
        for (int index = 0; index < results.size(); index++) {
            svg.append(line(results.get(index), index, max));
        }
        return svg.append("</svg>\n").toString();
    }

    private static String line(PlannerResult result, int index, double max) {
        String colour = COLOURS.get(index % COLOURS.size());
        double[] values = result.skewSecondsByRound();
        StringBuilder points = new StringBuilder();
        for (int round = 0; round < values.length; round++) {
            double x = MARGIN + (WIDTH - 2.0 * MARGIN) * round / Math.max(1, values.length - 1);
            double y = HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * values[round] / max;
            points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
        }
        String label = String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
                WIDTH - 200,
                30 + 14 * index,
                colour,
                result.planner());
        return "<polyline fill=\"none\" stroke=\"" + colour + "\" points=\""
                + points.toString().trim() + "\"/>\n" + label;
    }

    private static String text(int x, int y, String content) {
        return String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\">%s</text>%n", x, y, content);
    }
}
