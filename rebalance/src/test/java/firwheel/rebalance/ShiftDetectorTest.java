package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ShiftDetectorTest {
    private static final int EXPERTS = 72;
    private static final int READINGS = 40;

    private final ShiftDetector detector = new ShiftDetector();
    private final Random random = new Random(11);

    private double[][] noisy(double[][] demand, double noise) {
        double[][] reading = {demand[0].clone()};
        for (int expert = 0; expert < EXPERTS; expert++) {
            reading[0][expert] *= Math.exp(noise * random.nextGaussian());
        }
        return reading;
    }

    private double[][] skewedDemand() {
        double[][] demand = {new double[EXPERTS]};
        for (int expert = 0; expert < EXPERTS; expert++) {
            demand[0][expert] = 1 / (1.0 + random.nextInt(EXPERTS));
        }
        return demand;
    }

    private int shiftsSeen(double[][] demand, double noise) {
        int shifts = 0;
        for (int i = 0; i < READINGS; i++) {
            shifts += detector.isShift(demand, noisy(demand, noise)) ? 1 : 0;
        }
        return shifts;
    }

    @Nested
    final class Noise {
        @Test
        void isNoShift() {
            assertThat(shiftsSeen(skewedDemand(), 0.1)).isZero();
        }

        /** An estimate that started anew from one reading is as noisy as the readings that are compared with it. */
        @Test
        void isNoShiftIfEachReadingIsComparedWithTheOneBefore() {
            double[][] demand = skewedDemand();
            double[][] estimate = demand;
            int shifts = 0;
            for (int i = 0; i < READINGS; i++) {
                double[][] reading = noisy(demand, 0.3);
                shifts += detector.isShift(estimate, reading) ? 1 : 0;
                estimate = reading;
            }

            assertThat(shifts).isZero();
        }

        /** Few requests in a reading make its noise larger than the least distance that counts. */
        @Test
        void isNoShiftOnceItIsUsual() {
            double[][] demand = skewedDemand();
            for (int step = 1; step <= 4; step++) {
                shiftsSeen(demand, 0.1 * step);
            }

            assertThat(shiftsSeen(demand, 0.4)).isZero();
        }
    }

    @Nested
    final class Shifts {
        @Test
        void areSeenInTheFirstReading() {
            double[][] demand = skewedDemand();
            shiftsSeen(demand, 0.1);

            assertThat(detector.isShift(demand, noisy(skewedDemand(), 0.1))).isTrue();
        }
    }
}
