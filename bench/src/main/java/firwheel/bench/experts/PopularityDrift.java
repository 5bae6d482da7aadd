package firwheel.bench.experts;

import java.util.Random;

/** Number of tokens routed to each expert, which changes from round to round. */
interface PopularityDrift {
    /** Returns the tokens per step by layer and expert; must be called with increasing {@code round}. */
    double[][] tokensPerStep(int round);

    /** Returns a drift in which the popularity of each expert oscillates slowly with its own phase and amplitude. */
    static PopularityDrift seasonal(long seed, int layers, int experts, double tokens) {
        Random random = new Random(seed);
        double[][] base = ExpertPopularity.gaussianValues(random, layers, experts, 0.7);
        double[][] phase = ExpertPopularity.gaussianValues(random, layers, experts, 10);
        double[][] amplitude = ExpertPopularity.gaussianValues(random, layers, experts, 0.5);
        int periodRounds = 240;
        return round -> {
            double[][] logPopularity = new double[layers][experts];
            for (int layer = 0; layer < layers; layer++) {
                for (int expert = 0; expert < experts; expert++) {
                    double angle = 2 * Math.PI * round / periodRounds + phase[layer][expert];
                    logPopularity[layer][expert] = base[layer][expert] + amplitude[layer][expert] * Math.sin(angle);
                }
            }
            return ExpertPopularity.tokens(random, logPopularity, tokens);
        };
    }

    /** Returns a drift in which all experts change abruptly when the current type of job changes. */
    static PopularityDrift jobRuns(long seed, int layers, int experts, double tokens) {
        Random random = new Random(seed);
        int jobTypes = 4;
        int meanRunRounds = 30;
        double[][] base = ExpertPopularity.gaussianValues(random, layers, experts, 0.6);
        double[][][] jobTypeLogs = new double[jobTypes][][];
        for (int jobType = 0; jobType < jobTypes; jobType++) {
            jobTypeLogs[jobType] = ExpertPopularity.gaussianValues(random, layers, experts, 0.6);
        }
        int[] currentJobType = {0};
        return round -> {
            if (random.nextInt(meanRunRounds) == 0) {
                currentJobType[0] = random.nextInt(jobTypes);
            }
            double[][] logPopularity = new double[layers][experts];
            for (int layer = 0; layer < layers; layer++) {
                for (int expert = 0; expert < experts; expert++) {
                    logPopularity[layer][expert] = base[layer][expert] + jobTypeLogs[currentJobType[0]][layer][expert];
                }
            }
            return ExpertPopularity.tokens(random, logPopularity, tokens);
        };
    }
}
