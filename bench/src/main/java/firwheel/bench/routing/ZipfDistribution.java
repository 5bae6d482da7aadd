package firwheel.bench.routing;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Zipf distribution over the numbers below {@code count}; an exponent of 0 makes it uniform. */
final class ZipfDistribution {
    private final double[] cumulative;

    ZipfDistribution(int count, double exponent) {
        cumulative = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1, -exponent);
            cumulative[i] = sum;
        }
    }

    int sample(RandomGenerator random) {
        double point = random.nextDouble() * cumulative[cumulative.length - 1];
        int found = Arrays.binarySearch(cumulative, point);
        return Math.min(cumulative.length - 1, found >= 0 ? found : -found - 1);
    }
}
