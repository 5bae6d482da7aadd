package firwheel.bench.capacity;

import firwheel.model.TimeSource;
import java.util.function.IntFunction;

/** Measures the time of repeated operations and the heap that objects retain. */
final class MicroBenchmark {
    private static final int ROUNDS = 5;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final TimeSource time;

    MicroBenchmark(TimeSource time) {
        this.time = time;
    }

    /** Returns the mean time of {@code operation} in microseconds, taken from the fastest of several rounds. */
    double micros(int repetitions, Runnable operation) {
        double shortest = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long start = time.monotonicNanos();
            for (int i = 0; i < repetitions; i++) {
                operation.run();
            }
            shortest = Math.min(shortest, (time.monotonicNanos() - start) / NANOS_PER_MICRO / repetitions);
        }
        return shortest;
    }

    /** Returns the mean heap retained by each of {@code count} objects, in bytes. */
    static double heapBytes(int count, IntFunction<Object> factory) {
        long before = usedHeapBytes();
        Object[] retained = new Object[count];
        for (int i = 0; i < count; i++) {
            retained[i] = factory.apply(i);
        }
        long after = usedHeapBytes();
        if (retained[count - 1] == null) {
            throw new IllegalStateException("factory returned null");
        }
        return Math.max(0, (double) (after - before) / count);
    }

    /** Returns the heap in use after garbage collection, in bytes. */
    static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
