package firwheel.admission;

/**
 * Load of one gate, as it is reported to entries.
 *
 * @param inFlight running attempts
 * @param queued waiting attempts
 * @param outstandingTokens tokens of running and waiting attempts
 */
public record AdmissionLoad(int inFlight, int queued, long outstandingTokens) {}
