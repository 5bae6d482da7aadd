package firwheel.admission;

/** State of an attempt as recorded by its agent. */
public enum AttemptState {
    /** Waiting in the queue. */
    QUEUED,
    /** Passed to the engine or service. */
    RUNNING,
    /** Ran and completed. */
    COMPLETED,
    /** Ran and failed. */
    FAILED,
    /** Did not run and never will. */
    TOMBSTONE
}
