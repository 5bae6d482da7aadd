package firwheel.model;

/** Kind of target that a row of the table describes. */
public enum TargetKind {
    /** A group of ranks that run one model in lockstep. */
    MODEL,
    /** A plain service, which is not a model. */
    SERVICE
}
