package firwheel.rebalance;

/**
 * Tells a shift of demand from the noise of sampling. The distance between a reading and the estimate, half the sum of
 * the differences between their shares, is compared with the usual distance of readings without a shift.
 */
final class ShiftDetector {
    private static final double MIN_DISTANCE = 0.15; // a smaller shift changes the load of a rank little
    private static final double MIN_RATIO = 3; // to the usual distance
    private static final double USUAL_WEIGHT = 0.2; // of the latest reading in the usual distance
    private static final double MAX_GROWTH = 2; // of a reading over the usual distance; a shift says little about noise

    private double usualDistance = -1; // none known

    /** Returns whether demand has shifted between the estimate and a reading, which have the same total. */
    boolean isShift(double[][] estimate, double[][] reading) {
        double distance = distance(estimate, reading);
        if (usualDistance < 0) {
            usualDistance = distance;
            return false;
        }
        boolean shift = distance > Math.max(MIN_DISTANCE, MIN_RATIO * usualDistance);
        usualDistance += USUAL_WEIGHT * (Math.min(distance, MAX_GROWTH * usualDistance) - usualDistance);
        return shift;
    }

    private static double distance(double[][] estimate, double[][] reading) {
        double difference = 0;
        double total = 0;
        for (int layer = 0; layer < reading.length; layer++) {
            for (int expert = 0; expert < reading[layer].length; expert++) {
                difference += Math.abs(reading[layer][expert] - estimate[layer][expert]);
                total += reading[layer][expert];
            }
        }
        return total == 0 ? 0 : difference / (2 * total);
    }
}
