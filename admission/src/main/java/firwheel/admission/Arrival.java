package firwheel.admission;

/** What an agent's memory says of an arriving attempt. */
enum Arrival {
    /** Never seen, and there is room to remember it. */
    FRESH,
    /** Seen before. */
    KNOWN,
    /** Never seen, and past the time by which it had to arrive: it has not run and never will. */
    LATE,
    /** Never seen and no room to remember it; it is refused now and ever after. */
    NO_ROOM,
    /** Old enough that a record of it may have been evicted. */
    FORGOTTEN
}
