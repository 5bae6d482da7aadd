package firwheel.experts.plan;

/**
 * Prices configured for a group, in an arbitrary common unit.
 *
 * @param skewPrice price of one second of step-time skew, at least 0
 * @param movePrice price of one gibibyte moved, at least 0
 */
public record PlanPrices(double skewPrice, double movePrice) {
    public PlanPrices {
        if (!(skewPrice >= 0) || !(movePrice >= 0)) {
            throw new IllegalArgumentException("prices must not be negative: " + skewPrice + ", " + movePrice);
        }
    }
}
