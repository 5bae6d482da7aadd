package firwheel.admission;

/** Grants or denies retries, usually from a retry budget. */
@FunctionalInterface
public interface RetryPermit {
    /** Acquires a permit for one retry; returns false if none is available. */
    boolean tryAcquire();
}
