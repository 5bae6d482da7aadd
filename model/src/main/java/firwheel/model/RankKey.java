package firwheel.model;

import java.util.Objects;

/**
 * Identifies one rank of one row.
 *
 * @param row name of the row
 * @param rank position in the group, from 0
 */
public record RankKey(String row, int rank) {
    public RankKey {
        Objects.requireNonNull(row, "row");
    }
}
