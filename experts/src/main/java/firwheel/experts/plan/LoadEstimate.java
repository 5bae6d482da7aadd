package firwheel.experts.plan;

/** Exponentially weighted mean of the tokens per step of each expert of each layer; missing reports do not decay it. */
public final class LoadEstimate {
    /** Weight of the newest report in the mean of the relative error. */
    private static final double ERROR_WEIGHT = 0.1;
    /** Maximum growth of the relative error per report. */
    private static final double MAX_ERROR_GROWTH = 1.25;

    private final double[][] tokensPerStep;
    private final double[] relativeErrors;

    private LoadEstimate(double[][] tokensPerStep, double[] relativeErrors) {
        this.tokensPerStep = tokensPerStep;
        this.relativeErrors = relativeErrors;
    }

    /** Returns an estimate equal to a single report, indexed by layer and expert. */
    public static LoadEstimate of(double[][] tokensPerStep) {
        return new LoadEstimate(copy(tokensPerStep), new double[tokensPerStep.length]);
    }

    /** Returns the estimate updated with a report of weight {@code weight}, from 0 to 1. */
    public LoadEstimate updated(double[][] reportedTokensPerStep, double weight) {
        double[][] next = copy(tokensPerStep);
        double[] errors = new double[next.length];
        for (int layer = 0; layer < next.length; layer++) {
            errors[layer] = nextError(layer, reportedTokensPerStep[layer]);
            for (int expert = 0; expert < next[layer].length; expert++) {
                next[layer][expert] += weight * (reportedTokensPerStep[layer][expert] - next[layer][expert]);
            }
        }
        return new LoadEstimate(next, errors);
    }

    /** Returns a copy of the layer's tokens per step, indexed by expert. */
    public double[] layer(int layer) {
        return tokensPerStep[layer].clone();
    }

    /** Returns the mean deviation of reports from the estimate, relative to the load of an expert. */
    public double relativeError(int layer) {
        return relativeErrors[layer];
    }

    private double nextError(int layer, double[] reported) {
        double squares = 0;
        double total = 0;
        for (int expert = 0; expert < reported.length; expert++) {
            double difference = reported[expert] - tokensPerStep[layer][expert];
            squares += difference * difference;
            total += tokensPerStep[layer][expert] * tokensPerStep[layer][expert];
        }
        double observed = total == 0 ? 0 : Math.sqrt(squares / total);
        double previous = relativeErrors[layer];
        double smoothed = previous + ERROR_WEIGHT * (observed - previous);
        return previous == 0 ? observed : Math.min(smoothed, MAX_ERROR_GROWTH * previous);
    }

    private static double[][] copy(double[][] values) {
        double[][] copy = new double[values.length][];
        for (int layer = 0; layer < values.length; layer++) {
            copy[layer] = values[layer].clone();
        }
        return copy;
    }
}
