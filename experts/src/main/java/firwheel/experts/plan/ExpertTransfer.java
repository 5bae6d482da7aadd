package firwheel.experts.plan;

import java.util.Objects;

/**
 * One expert's weights on their way to a rank.
 *
 * @param group row of the group
 * @param planNumber number of the group's plan that wants it; a later plan overtakes an earlier one
 * @param move what is loaded where
 * @param bytes size of the weights
 * @param sha256 expected digest of the weights of the wanted version, in hexadecimal
 */
public record ExpertTransfer(String group, long planNumber, ExpertMove move, long bytes, String sha256) {
    public ExpertTransfer {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(move, "move");
        Objects.requireNonNull(sha256, "sha256");
        if (bytes <= 0) {
            throw new IllegalArgumentException("bytes must be positive: " + bytes);
        }
    }
}
