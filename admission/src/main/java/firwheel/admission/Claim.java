package firwheel.admission;

/**
 * A claim on an idempotency key that this process holds.
 *
 * @param rowKey key of the claim's row in the platform's table
 * @param token random token that is unique to this claim
 * @param request request that the claim is for
 */
public record Claim(String rowKey, String token, ClaimRequest request) {}
