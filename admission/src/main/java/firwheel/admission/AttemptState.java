package firwheel.admission;

/** State of an attempt in the memory of its agent. */
public enum AttemptState {
    /** Waits in the queue. */
    QUEUED,
    /** Was handed to the engine or service. */
    RUNNING,
    /** Ran to its end. */
    COMPLETED,
    /** Ran and failed. */
    FAILED,
    /** Did not run and never will. */
    TOMBSTONE
}
