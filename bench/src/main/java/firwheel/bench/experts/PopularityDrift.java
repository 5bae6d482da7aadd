package firwheel.bench.experts;

import java.util.Random;

/** Tokens that each expert of each layer gets in a step, round after round. */
interface PopularityDrift {
    /** Returns tokens a step by layer and expert in {@code round}; rounds are asked for in order. */
    double[][] tokensPerStep(int round);

    /** Returns drift in which every expert's popularity rises and falls slowly, each at its own time. */
    static PopularityDrift seasonal(long seed, int layers, int experts, double tokens) {
        Random random = new Random(seed);
        double[][] base = Popularity.gaussian(random, layers, experts, 0.7);
        double[][] phase = Popularity.gaussian(random, layers, experts, 10);
        double[][] swing = Popularity.gaussian(random, layers, experts, 0.5);
        int periodRounds = 240;
        return round -> {
            double[][] logs = new double[layers][experts];
            for (int layer = 0; layer < layers; layer++) {
                for (int expert = 0; expert < experts; expert++) {
                    double angle = 2 * Math.PI * round / periodRounds + phase[layer][expert];
                    logs[layer][expert] = base[layer][expert] + swing[layer][expert] * Math.sin(angle);
                }
            }
            return Popularity.tokens(random, logs, tokens);
        };
    }

    /** Returns drift in which runs of one kind of job begin and end at once. */
    static PopularityDrift jobRuns(long seed, int layers, int experts, double tokens) {
        Random random = new Random(seed);
        int kinds = 4;
        int meanRunRounds = 30;
        double[][] base = Popularity.gaussian(random, layers, experts, 0.6);
        double[][][] kindLogs = new double[kinds][][];
        for (int kind = 0; kind < kinds; kind++) {
            kindLogs[kind] = Popularity.gaussian(random, layers, experts, 0.6);
        }
        int[] current = {0};
        return round -> {
            if (random.nextInt(meanRunRounds) == 0) {
                current[0] = random.nextInt(kinds);
            }
            double[][] logs = new double[layers][experts];
            for (int layer = 0; layer < layers; layer++) {
                for (int expert = 0; expert < experts; expert++) {
                    logs[layer][expert] = base[layer][expert] + kindLogs[current[0]][layer][expert];
                }
            }
            return Popularity.tokens(random, logs, tokens);
        };
    }
}
