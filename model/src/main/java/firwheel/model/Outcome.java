package firwheel.model;

/** What a caller may conclude from an answer. */
public enum Outcome {
    /** The whole answer was delivered. */
    COMPLETE("complete"),
    /** The request provably did not run and never will. */
    NOT_RUN("not-run"),
    /** The request may or may not have run. */
    UNKNOWN("unknown"),
    /** The request ran and its answer could not be delivered whole. */
    FAILED("failed");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /** Returns the word used in the {@code Firwheel-Outcome} header. */
    public String label() {
        return label;
    }
}
