package firwheel.experts.plan;

import java.util.Objects;

/**
 * Transfer of the weights of one expert to a rank.
 *
 * @param group name of the group
 * @param planNumber number of the group's plan that requested the transfer; a later plan supersedes an earlier one
 * @param move expert, source and destination
 * @param bytes size of the weights
 * @param sha256 expected SHA-256 digest of the weights, in hexadecimal
 */
public record ExpertTransfer(String group, long planNumber, ExpertMove move, long bytes, String sha256) {
    public ExpertTransfer {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(move, "move");
        Objects.requireNonNull(sha256, "sha256");
        if (bytes <= 0) {
            throw new IllegalArgumentException("transfer size must be positive: " + bytes);
        }
    }
}
