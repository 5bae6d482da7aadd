package firwheel.admission;

/**
 * A claim that this process holds.
 *
 * @param rowKey row of the platform's table
 * @param token random token that no other claim has
 * @param request request that the claim is for
 */
public record Claim(String rowKey, String token, ClaimRequest request) {}
