package firwheel.routing;

/**
 * Options for reading {@link GroupLoad}.
 *
 * @param maxAgeNanos maximum age at which a cached summary is reused
 * @param requestOverheadTokens fixed cost of a request in addition to its tokens, in tokens
 */
record GroupLoadOptions(long maxAgeNanos, double requestOverheadTokens) {}
