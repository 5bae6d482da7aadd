package firwheel.model;

/** Priority of a request. Requests with a lower ordinal are served first. */
public enum Priority {
    HIGH,
    NORMAL,
    LOW
}
