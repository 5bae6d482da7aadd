package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.Priority;
import java.util.Objects;

/**
 * Properties of one attempt that admission control uses. Both times are readings of the agent's own monotonic clock, so
 * that a frame that was delayed anywhere on its way is still recognised as late.
 *
 * @param id random id of the attempt
 * @param incarnation incarnation of the agent process that the attempt was sent to
 * @param organisation organisation of the caller
 * @param priority priority of the request
 * @param tokens estimated prompt and output tokens, at least 1
 * @param bodyBytes size of the request body
 * @param admitByMillis agent clock reading until which the attempt may be admitted
 * @param deadlineMillis agent clock reading of the caller's deadline
 */
public record AttemptDescriptor(
        AttemptId id,
        long incarnation,
        String organisation,
        Priority priority,
        int tokens,
        int bodyBytes,
        long admitByMillis,
        long deadlineMillis) {
    public AttemptDescriptor {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(priority, "priority");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens must be at least 1: " + tokens);
        }
        if (bodyBytes < 0) {
            throw new IllegalArgumentException("bodyBytes must not be negative: " + bodyBytes);
        }
    }
}
