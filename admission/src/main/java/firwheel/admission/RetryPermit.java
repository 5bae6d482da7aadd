package firwheel.admission;

/** Grants retries, usually from a budget. */
@FunctionalInterface
public interface RetryPermit {
    /** Takes one retry from the budget; returns false when it is spent. */
    boolean tryAcquire();
}
