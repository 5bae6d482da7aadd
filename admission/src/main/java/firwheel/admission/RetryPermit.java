package firwheel.admission;

/** Grants or denies retries, usually from a retry budget. */
@FunctionalInterface
public interface RetryPermit {
    /** Takes one retry from the budget; returns false if none is left. */
    boolean tryAcquire();
}
