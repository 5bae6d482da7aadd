package firwheel.bench.routing;

/** Patterns of arrivals. */
public enum ArrivalPattern {
    /** Prefixes and entries all alike. */
    EVEN(0.0, 0.0, 0.7),
    /** A few prefixes and entries take most requests, and sizes have a longer tail. */
    SKEWED(1.1, 0.7, 1.0),
    /** For one second of every five the rate is 2.2 times the rate of the other four. */
    BURSTY(0.6, 0.0, 0.7),
    /** Popular prefixes change every two seconds and prompts grow. */
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

    /** Returns the rate at a time, relative to the mean rate. */
    double rate(double seconds) {
        if (this != BURSTY) {
            return 1;
        }
        return seconds % 5 < 1 ? BURST_RATE : QUIET_RATE;
    }

    /** Returns how far popularity has moved on, in prefixes. */
    int prefixShift(double seconds) {
        return this == DRIFTING ? ((int) (seconds / 2)) * DRIFT_PREFIXES : 0;
    }

    /** Returns the mean of the prompts' own part at a time, relative to its mean over the run. */
    double promptScale(double runShare) {
        return this == DRIFTING ? 0.5 + runShare : 1;
    }
}
