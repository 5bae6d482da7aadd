package firwheel.routing;

/**
 * How the load of a group is read.
 *
 * @param maxAgeNanos age up to which a summary is used again
 * @param requestOverheadTokens work, in tokens, that a request is beside its tokens
 */
record GroupLoadOptions(long maxAgeNanos, double requestOverheadTokens) {}
