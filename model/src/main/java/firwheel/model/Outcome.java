package firwheel.model;

/** What a caller can conclude from a response about the execution of its request. */
public enum Outcome {
    /** The complete response was delivered. */
    COMPLETE("complete"),
    /** The request is known not to have run and never will. */
    NOT_RUN("not-run"),
    /** The request may or may not have run. */
    UNKNOWN("unknown"),
    /** The request ran, but its complete response could not be delivered. */
    FAILED("failed");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /** Returns the value used in the {@code Firwheel-Outcome} header. */
    public String label() {
        return label;
    }
}
