package firwheel.model;

/** What a row of the table serves. */
public enum TargetKind {
    /** A group of ranks that run one model in lock-step. */
    MODEL,
    /** A plain service. */
    SERVICE
}
