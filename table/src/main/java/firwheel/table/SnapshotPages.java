package firwheel.table;

import firwheel.model.RankAddress;
import firwheel.model.TargetRow;
import firwheel.table.ActiveTable.TableWithDigest;
import java.util.ArrayList;
import java.util.List;

/** Splits a table into pages of bounded size. */
final class SnapshotPages {
    private static final int ROW_BASE_BYTES = 220;
    private static final int HOST_BASE_BYTES = 40;

    private final TableWithDigest source;
    private final List<List<TargetRow>> pages = new ArrayList<>();

    SnapshotPages(TableWithDigest source) {
        this.source = source;
        List<TargetRow> page = new ArrayList<>();
        int bytes = 0;
        for (TargetRow row : source.table().rows()) {
            int rowBytes = estimateBytes(row);
            if (!page.isEmpty() && bytes + rowBytes > TableMessage.MAX_BYTES) {
                pages.add(page);
                page = new ArrayList<>();
                bytes = 0;
            }
            page.add(row);
            bytes += rowBytes;
        }
        pages.add(page);
    }

    long revision() {
        return source.revision();
    }

    TableMessage.SnapshotPage page(int number) {
        int index = Math.max(0, Math.min(number, pages.size() - 1));
        return new TableMessage.SnapshotPage(source.revision(), source.digest(), index, pages.size(), pages.get(index));
    }

    private static int estimateBytes(TargetRow row) {
        int bytes =
                ROW_BASE_BYTES + row.name().length() + row.availabilityZone().length();
        for (String model : row.models()) {
            bytes += model.length() + 4;
        }
        for (RankAddress host : row.hosts()) {
            bytes += HOST_BASE_BYTES + host.ip().length();
        }
        return bytes;
    }
}
