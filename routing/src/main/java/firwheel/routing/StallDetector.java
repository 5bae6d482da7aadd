package firwheel.routing;

import java.time.Duration;

/**
 * Tells when one rank has stalled, by the time of its steps or by silence while it has work, and how much work it gets
 * afterwards. Not thread-safe.
 */
final class StallDetector {
    /** A step this many times as long as usual is a stall. */
    private static final double STEP_RATIO = 4.0;

    /** Shorter steps are never a stall: an idle rank's usual step is short. */
    private static final long MIN_STALL_STEP_MICROS = 250_000;

    private static final double STEP_MEMORY = 0.05;
    private static final double FIRST_SHARE = 0.1;
    private static final long SILENCE_MILLIS = 1_500;
    private static final long SILENCE_NANOS = Duration.ofMillis(SILENCE_MILLIS).toNanos();
    private static final long UNAVAILABLE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long RECOVERY_NANOS = Duration.ofSeconds(10).toNanos();

    private double usualStepMicros;
    private boolean slow;
    private boolean engineSilent;
    private boolean busy;
    private boolean wasStalled;
    private long lastHeardNanos;
    private long unavailableUntilNanos = Long.MIN_VALUE;
    private long recoveredAtNanos = Long.MIN_VALUE;

    /** Notes a report. */
    void onReport(RankLoadReport report, long nowNanos) {
        settle(nowNanos);
        lastHeardNanos = nowNanos;
        engineSilent = report.millisSinceLastOutput() > SILENCE_MILLIS;
        noteStep(report.stepMicros());
        settle(nowNanos);
    }

    /** Notes that the engine put out a part of a request of this entry. */
    void onProgress(long nowNanos) {
        settle(nowNanos);
        lastHeardNanos = nowNanos;
        engineSilent = false;
        settle(nowNanos);
    }

    /** Notes how many requests of this entry are open at the rank. */
    void onOpenRequests(int open, long nowNanos) {
        settle(nowNanos);
        if (open > 0 && !busy) {
            lastHeardNanos = nowNanos;
        }
        busy = open > 0;
        settle(nowNanos);
    }

    /** Notes that the rank could not be reached or takes nothing new. */
    void onUnavailable(long nowNanos) {
        settle(nowNanos);
        unavailableUntilNanos = nowNanos + UNAVAILABLE_NANOS;
        settle(nowNanos);
    }

    /** Returns the share of its usual new work that the rank may get now. */
    double share(long nowNanos) {
        if (stalledAt(nowNanos)) {
            return 0;
        }
        long sinceNanos = Math.max(recoveredAtNanos, unavailableUntilNanos);
        if (sinceNanos == Long.MIN_VALUE) {
            return 1.0;
        }
        double elapsed = (double) (nowNanos - sinceNanos) / RECOVERY_NANOS;
        return Math.min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * elapsed);
    }

    private void noteStep(long stepMicros) {
        if (stepMicros == 0) {
            return;
        }
        if (usualStepMicros == 0) {
            usualStepMicros = stepMicros;
        }
        slow = stepMicros >= MIN_STALL_STEP_MICROS && stepMicros > STEP_RATIO * usualStepMicros;
        if (!slow) {
            usualStepMicros += STEP_MEMORY * (stepMicros - usualStepMicros);
        }
    }

    private void settle(long nowNanos) {
        boolean stalled = stalledAt(nowNanos);
        if (wasStalled && !stalled) {
            recoveredAtNanos = nowNanos;
        }
        wasStalled = stalled;
    }

    private boolean stalledAt(long nowNanos) {
        return slow
                || engineSilent
                || nowNanos < unavailableUntilNanos
                || (busy && nowNanos - lastHeardNanos > SILENCE_NANOS);
    }
}
