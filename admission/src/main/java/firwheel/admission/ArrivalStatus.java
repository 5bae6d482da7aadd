package firwheel.admission;

/** What an agent's memory says of an arriving attempt. */
enum ArrivalStatus {
    /** Never seen, and there is room to remember it. */
    NEW,
    /** Seen before. */
    KNOWN,
    /** Never seen, and past the time by which it had to arrive: it has not run and never will. */
    EXPIRED,
    /** Never seen and no room to remember it; it is refused now and ever after. */
    AT_CAPACITY,
    /** Old enough that a record of it may have been evicted. */
    POSSIBLY_EVICTED
}
