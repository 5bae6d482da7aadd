package firwheel.routing;

import java.time.Duration;

/**
 * Detects that one rank has stalled, from slow steps or from missing output while it has work, and ramps its share of
 * new requests up again after recovery. Not thread-safe.
 */
final class StallDetector {
    /** A step that takes more than this multiple of the average is a stall. */
    private static final double STALL_STEP_RATIO = 4.0;

    /** Shorter steps are never a stall: the steps of an idle rank are short, so its average is too. */
    private static final long MIN_STALL_STEP_MICROS = 250_000;

    private static final double STEP_SMOOTHING_FACTOR = 0.05;
    private static final double INITIAL_ADMISSION_SHARE = 0.1;
    private static final long NO_OUTPUT_TIMEOUT_MILLIS = 1_500;
    private static final long NO_OUTPUT_TIMEOUT_NANOS =
            Duration.ofMillis(NO_OUTPUT_TIMEOUT_MILLIS).toNanos();
    private static final long UNAVAILABLE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long RECOVERY_RAMP_NANOS = Duration.ofSeconds(10).toNanos();

    private double averageStepMicros;
    private boolean slowStep;
    private boolean noEngineOutput;
    private boolean hasOpenRequests;
    private boolean wasStalled;
    private long lastContactNanos;
    private long unavailableUntilNanos = Long.MIN_VALUE;
    private long recoveredAtNanos = Long.MIN_VALUE;

    /** Records a load report. */
    void onReport(RankLoadReport report, long nowNanos) {
        updateRecovery(nowNanos);
        lastContactNanos = nowNanos;
        noEngineOutput = report.millisSinceLastOutput() > NO_OUTPUT_TIMEOUT_MILLIS;
        updateStepTime(report.stepMicros());
        updateRecovery(nowNanos);
    }

    /** Records that the engine produced output for a request of this entry. */
    void onProgress(long nowNanos) {
        updateRecovery(nowNanos);
        lastContactNanos = nowNanos;
        noEngineOutput = false;
        updateRecovery(nowNanos);
    }

    /** Records the number of open requests of this entry at the rank. */
    void onOpenRequests(int open, long nowNanos) {
        updateRecovery(nowNanos);
        if (open > 0 && !hasOpenRequests) {
            lastContactNanos = nowNanos;
        }
        hasOpenRequests = open > 0;
        updateRecovery(nowNanos);
    }

    /** Records that the rank was unreachable or refuses new requests. */
    void onUnavailable(long nowNanos) {
        updateRecovery(nowNanos);
        unavailableUntilNanos = nowNanos + UNAVAILABLE_NANOS;
        updateRecovery(nowNanos);
    }

    /** Returns the fraction of its normal share of new requests that the rank may get now, from 0 to 1. */
    double admissionShare(long nowNanos) {
        if (isStalledAt(nowNanos)) {
            return 0;
        }
        long sinceNanos = Math.max(recoveredAtNanos, unavailableUntilNanos);
        if (sinceNanos == Long.MIN_VALUE) {
            return 1.0;
        }
        double elapsed = (double) (nowNanos - sinceNanos) / RECOVERY_RAMP_NANOS;
        return Math.min(1.0, INITIAL_ADMISSION_SHARE + (1.0 - INITIAL_ADMISSION_SHARE) * elapsed);
    }

    private void updateStepTime(long stepMicros) {
        if (stepMicros == 0) {
            return;
        }
        if (averageStepMicros == 0) {
            averageStepMicros = stepMicros;
        }
        slowStep = stepMicros >= MIN_STALL_STEP_MICROS && stepMicros > STALL_STEP_RATIO * averageStepMicros;
        if (!slowStep) {
            averageStepMicros += STEP_SMOOTHING_FACTOR * (stepMicros - averageStepMicros);
        }
    }

    private void updateRecovery(long nowNanos) {
        boolean stalled = isStalledAt(nowNanos);
        if (wasStalled && !stalled) {
            recoveredAtNanos = nowNanos;
        }
        wasStalled = stalled;
    }

    private boolean isStalledAt(long nowNanos) {
        return slowStep
                || noEngineOutput
                || nowNanos < unavailableUntilNanos
                || (hasOpenRequests && nowNanos - lastContactNanos > NO_OUTPUT_TIMEOUT_NANOS);
    }
}
