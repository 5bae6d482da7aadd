package firwheel.model;

/** Priority of a request; a lower ordinal is served first. */
public enum Priority {
    HIGH,
    NORMAL,
    LOW
}
