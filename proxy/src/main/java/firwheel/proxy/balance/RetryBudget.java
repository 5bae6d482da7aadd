package firwheel.proxy.balance;

import firwheel.model.TimeSource;
import java.util.concurrent.TimeUnit;

/**
 * This entry's share of the retry budget. The operator limits the retries of all entries, in any window, to {@code
 * ratio} times the number of requests plus an allowance. Each entry counts only its own requests and takes an equal
 * share of the allowance, so that the overall limit holds whatever entries know about each other.
 */
public final class RetryBudget {
    private static final int BUCKETS_PER_WINDOW = 20; // a bucket that is partly outside the window still counts
    private static final double REQUEST_COUNT_MARGIN =
            0.8; // requests near the boundary of a window may fall outside it

    private final TimeSource time;
    private double ratio;
    private double allowance;
    private final long bucketNanos;
    private final int[] requests = new int[BUCKETS_PER_WINDOW + 1];
    private final int[] retries = new int[BUCKETS_PER_WINDOW + 1];
    private int entryCount;
    private long currentBucket;

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per request, over all entries
     * @param allowance retries allowed in a window regardless of the number of requests, over all entries
     * @param windowSeconds length of the window
     * @param entryCount number of entries that share the allowance
     */
    public RetryBudget(TimeSource time, double ratio, double allowance, double windowSeconds, int entryCount) {
        this.time = time;
        this.ratio = ratio;
        this.allowance = allowance;
        this.entryCount = entryCount;
        bucketNanos = (long) (windowSeconds * TimeUnit.SECONDS.toNanos(1) / BUCKETS_PER_WINDOW);
        currentBucket = time.monotonicNanos() / bucketNanos;
    }

    /** Sets the number of entries that share the allowance. */
    public void setEntryCount(int entryCount) {
        this.entryCount = Math.max(1, entryCount);
    }

    /** Sets new limits; the counts of the current window are kept. */
    public void setLimits(double newRatio, double newAllowance) {
        ratio = newRatio;
        allowance = newAllowance;
    }

    /** Counts a request. */
    public void onRequest() {
        advanceWindow();
        requests[index(currentBucket)]++;
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    public boolean tryAcquire() {
        advanceWindow();
        if (sum(retries) + 1 > ratio * REQUEST_COUNT_MARGIN * sum(requests) + allowance / entryCount) {
            return false;
        }
        retries[index(currentBucket)]++;
        return true;
    }

    private void advanceWindow() {
        long bucket = time.monotonicNanos() / bucketNanos;
        long firstExpired = Math.max(currentBucket + 1, bucket - BUCKETS_PER_WINDOW);
        for (long expired = firstExpired; expired <= bucket; expired++) {
            requests[index(expired)] = 0;
            retries[index(expired)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static int index(long bucket) {
        return Math.floorMod(bucket, BUCKETS_PER_WINDOW + 1);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
