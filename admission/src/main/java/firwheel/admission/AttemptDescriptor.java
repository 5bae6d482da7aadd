package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.Priority;
import java.util.Objects;

/**
 * What an agent's gate knows of one attempt. Both times are readings of the agent's own monotonic clock, so that a frame
 * that was held up anywhere on its way is still recognised as late.
 *
 * @param id random id of the attempt
 * @param incarnation agent process that the attempt is meant for
 * @param organisation organisation of the caller
 * @param priority priority of the request
 * @param tokens estimated prompt and output tokens, at least 1
 * @param bodyBytes size of the request body
 * @param admitByMillis last reading at which the attempt may be received
 * @param deadlineMillis reading at which the caller's deadline passes
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
