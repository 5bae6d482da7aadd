package firwheel.model;

/** State that operators give a row of the table. */
public enum RowState {
    /** Takes orders only; no requests yet. */
    JOINING,
    /** Takes requests. */
    SERVING,
    /** Takes nothing new; running work finishes. */
    LEAVING
}
