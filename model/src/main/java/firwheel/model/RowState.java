package firwheel.model;

/** Administrative state of a row of the table, set by operators. */
public enum RowState {
    /** Accepts orders of the controller, but no requests yet. */
    JOINING,
    /** Accepts requests. */
    SERVING,
    /** Accepts no new work; running requests are completed. */
    LEAVING
}
