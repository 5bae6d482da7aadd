package firwheel.experts.plan;

/**
 * Prices of a group's row, in any one unit.
 *
 * @param skewPrice price of one second of step-time skew
 * @param movePrice price of one gibibyte moved
 */
public record PlanPrices(double skewPrice, double movePrice) {
    public PlanPrices {
        if (!(skewPrice >= 0) || !(movePrice >= 0)) {
            throw new IllegalArgumentException("prices must be at least 0: " + skewPrice + ", " + movePrice);
        }
    }
}
