package firwheel.bench.routing;

/** Patterns of request arrivals. */
public enum ArrivalPattern {
    /** Requests are spread evenly over prefixes and entries. */
    EVEN(0.0, 0.0, 0.7),
    /** A few prefixes and entries receive most requests, and request sizes have a longer tail. */
    SKEWED(1.1, 0.7, 1.0),
    /** In one second of every five, the rate is 2.2 times that of the other four. */
    BURSTY(0.6, 0.0, 0.7),
    /** The popular prefixes change every two seconds, and prompts grow over the run. */
    DRIFTING(0.9, 0.0, 0.7);

    private static final double BURST_RATE = 2.2 / 1.24;
    private static final double QUIET_RATE = 1 / 1.24;
    private static final int DRIFT_PREFIXES = 20;

    private final double prefixExponent;
    private final double entryExponent;
    private final double sizeSigma;

    ArrivalPattern(double prefixExponent, double entryExponent, double sizeSigma) {
        this.prefixExponent = prefixExponent;
        this.entryExponent = entryExponent;
        this.sizeSigma = sizeSigma;
    }

    double prefixExponent() {
        return prefixExponent;
    }

    double entryExponent() {
        return entryExponent;
    }

    double sizeSigma() {
        return sizeSigma;
    }

    /** Returns the arrival rate at {@code seconds} into the run, relative to the mean rate. */
    double rate(double seconds) {
        if (this != BURSTY) {
            return 1;
        }
        return seconds % 5 < 1 ? BURST_RATE : QUIET_RATE;
    }

    /** Returns the offset to add to a sampled prefix index at {@code seconds} into the run. */
    int prefixShift(double seconds) {
        return this == DRIFTING ? ((int) (seconds / 2)) * DRIFT_PREFIXES : 0;
    }

    /** Returns the factor by which the mean prompt length without prefix is scaled at this share of the run. */
    double promptScale(double runShare) {
        return this == DRIFTING ? 0.5 + runShare : 1;
    }
}
