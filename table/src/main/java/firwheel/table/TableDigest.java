package firwheel.table;

import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Order-independent 64-bit digest of a table. It is kept up to date from changes alone and tells two tables apart that
 * carry the same revision.
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

    /** Returns the digest of a table of digest {@code digest} after {@code changes}. */
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
