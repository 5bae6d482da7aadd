package firwheel.table;

import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Order-independent 64-bit digest of a table: the sum of the hashes of its rows. It can be updated incrementally from
 * row changes and distinguishes different tables with the same revision.
 */
final class TableDigest {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final char SEPARATOR = '\u001f';

    private TableDigest() {}

    static long of(TableSnapshot table) {
        long digest = 0;
        for (TargetRow row : table.rows()) {
            digest += of(row);
        }
        return digest;
    }

    /** Returns the digest after {@code changes} of a table whose digest was {@code digest}. */
    static long afterChanges(long digest, List<RowChange> changes) {
        long changed = digest;
        for (RowChange change : changes) {
            TargetRow before = change.before();
            TargetRow after = change.after();
            changed -= before == null ? 0 : of(before);
            changed += after == null ? 0 : of(after);
        }
        return changed;
    }

    private static long of(TargetRow row) {
        StringBuilder text = new StringBuilder(256);
        for (TableColumn column : TableColumn.values()) {
            text.append(column.format(row)).append(SEPARATOR);
        }
        return HASH.hashChars(text);
    }
}
