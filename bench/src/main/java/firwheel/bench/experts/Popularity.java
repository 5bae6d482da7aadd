package firwheel.bench.experts;

import java.util.Random;

/** Log-normal popularity with sampling noise. */
final class Popularity {
    private static final double NOISE = 0.03;

    private Popularity() {}

    static double[][] gaussian(Random random, int layers, int experts, double deviation) {
        double[][] values = new double[layers][experts];
        for (double[] layer : values) {
            for (int expert = 0; expert < experts; expert++) {
                layer[expert] = deviation * random.nextGaussian();
            }
        }
        return values;
    }

    /** Returns shares of {@code tokens} in each layer, in proportion to the exponent of {@code logs} with noise. */
    static double[][] tokens(Random random, double[][] logs, double tokens) {
        double[][] values = new double[logs.length][];
        for (int layer = 0; layer < logs.length; layer++) {
            values[layer] = new double[logs[layer].length];
            double sum = 0;
            for (int expert = 0; expert < values[layer].length; expert++) {
                values[layer][expert] = Math.exp(logs[layer][expert] + NOISE * random.nextGaussian());
                sum += values[layer][expert];
            }
            for (int expert = 0; expert < values[layer].length; expert++) {
                values[layer][expert] *= tokens / sum;
            }
        }
        return values;
    }
}
