package firwheel.experts.plan;

/** Decayed mean of the tokens that each expert of each layer gets in a step. A report that never came changes nothing. */
public final class LoadEstimate {
    private final double[][] tokensPerStep;

    private LoadEstimate(double[][] tokensPerStep) {
        this.tokensPerStep = tokensPerStep;
    }

    /** Returns an estimate equal to one report, indexed by layer and expert. */
    public static LoadEstimate of(double[][] tokensPerStep) {
        return new LoadEstimate(copy(tokensPerStep));
    }

    /** Returns the estimate after a report whose weight is {@code weight}, from 0 to 1. */
    public LoadEstimate updated(double[][] reportedTokensPerStep, double weight) {
        double[][] next = copy(tokensPerStep);
        for (int layer = 0; layer < next.length; layer++) {
            for (int expert = 0; expert < next[layer].length; expert++) {
                next[layer][expert] += weight * (reportedTokensPerStep[layer][expert] - next[layer][expert]);
            }
        }
        return new LoadEstimate(next);
    }

    /** Returns a copy of the layer's tokens a step by expert. */
    public double[] layer(int layer) {
        return tokensPerStep[layer].clone();
    }

    private static double[][] copy(double[][] values) {
        double[][] copy = new double[values.length][];
        for (int layer = 0; layer < values.length; layer++) {
            copy[layer] = values[layer].clone();
        }
        return copy;
    }
}
