package firwheel.bench.experts;

import java.util.Random;

/** Generates log-normally distributed expert popularity with sampling noise. */
final class ExpertPopularity {
    private static final double NOISE_DEVIATION = 0.03;

    private ExpertPopularity() {}

    static double[][] gaussianValues(Random random, int layers, int experts, double deviation) {
        double[][] values = new double[layers][experts];
        for (double[] layer : values) {
            for (int expert = 0; expert < experts; expert++) {
                layer[expert] = deviation * random.nextGaussian();
            }
        }
        return values;
    }

    /** Distributes {@code tokens} over the experts of each layer in proportion to their popularity, with noise. */
    static double[][] tokens(Random random, double[][] logPopularity, double tokens) {
        double[][] values = new double[logPopularity.length][];
        for (int layer = 0; layer < logPopularity.length; layer++) {
            values[layer] = new double[logPopularity[layer].length];
            double sum = 0;
            for (int expert = 0; expert < values[layer].length; expert++) {
                values[layer][expert] =
                        Math.exp(logPopularity[layer][expert] + NOISE_DEVIATION * random.nextGaussian());
                sum += values[layer][expert];
            }
            for (int expert = 0; expert < values[layer].length; expert++) {
                values[layer][expert] *= tokens / sum;
            }
        }
        return values;
    }
}
