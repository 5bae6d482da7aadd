package firwheel.bench.capacity;

import java.util.Locale;

/** Renders the tables of the capacity page as Markdown. */
public final class CapacityPage {
    private static final double TWO_DECIMALS_BELOW = 10;

    private CapacityPage() {}

    /** Returns the table of measured slopes. */
    public static String slopes(RecordedSlopes slopes) {
        StringBuilder out = new StringBuilder("| slope | value | unit | what |\n|---|---|---|---|\n");
        for (Slope slope : Slope.values()) {
            out.append(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s |%n",
                    slope.name(),
                    formatNumber(slopes.get(slope)),
                    slope.unit(),
                    slope.description()));
        }
        return out.toString();
    }

    /** Returns the table of quantities at the current size and at the design size, with their limits. */
    public static String capacities(RecordedSlopes slopes) {
        DeploymentSize current = DeploymentSize.current();
        DeploymentSize design = DeploymentSize.design();
        StringBuilder out = new StringBuilder(
                "| role | quantity | mechanism | today | design | limit | at the design size |\n|---|---|---|---|---|---|---|\n");
        for (CapacityRow row : CapacityModel.rows()) {
            out.append(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %s | %s | %s |%n",
                    row.role(),
                    row.quantity(),
                    row.mechanism(),
                    formatNumber(row.formula().applyAsDouble(current, slopes)),
                    formatNumber(row.formula().applyAsDouble(design, slopes)),
                    row.limit().isPresent() ? formatNumber(row.limit().getAsDouble()) : "none",
                    row.verdict(design, slopes)));
        }
        return out.toString();
    }

    private static String formatNumber(double value) {
        if (value == 0) {
            return "0";
        }
        if (Math.abs(value) < 0.01) {
            return String.format(Locale.ROOT, "%.2g", value);
        }
        return String.format(Locale.ROOT, Math.abs(value) < TWO_DECIMALS_BELOW ? "%.2f" : "%.0f", value);
    }
}
