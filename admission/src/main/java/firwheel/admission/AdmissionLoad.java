package firwheel.admission;

/**
 * Load of one {@link AdmissionController}, as reported to entries.
 *
 * @param inFlight number of running attempts
 * @param queued number of queued attempts
 * @param outstandingTokens total tokens of running and queued attempts
 */
public record AdmissionLoad(int inFlight, int queued, long outstandingTokens) {}
