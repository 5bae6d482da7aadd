package firwheel.admission;

/** Classification of a received attempt by {@link AttemptRecords}. */
enum ArrivalStatus {
    /** Not received before, and there is capacity to record it. */
    NEW,
    /** Already recorded. */
    KNOWN,
    /** Not received before and past its admission time limit: it has not run and never will. */
    EXPIRED,
    /** Not received before, but there is no capacity to record it; it is refused now and on every later receipt. */
    AT_CAPACITY,
    /** Not recorded, but a record of it may have been evicted, so it may have run. */
    POSSIBLY_EVICTED
}
