package firwheel.table;

import java.util.Locale;

/** Keys that firwheel uses in the platform's table service. */
public final class TableKeys {
    /** Key of the row with the current table revision. */
    public static final String REVISION = "table/revision";
    /** Key prefix of the table rows. */
    public static final String ROW_PREFIX = "table/row/";
    /** Key prefix of the audit records, one for each revision. */
    public static final String AUDIT_PREFIX = "audit/";
    /** Key prefix of the audit records of controllers' orders. */
    public static final String ORDER_PREFIX = "order/";

    private TableKeys() {}

    /** Returns the key of the table row with this name. */
    public static String row(String name) {
        return ROW_PREFIX + name;
    }

    /** Returns the key of the audit record of a revision; keys sort by revision. */
    public static String audit(long revision) {
        return AUDIT_PREFIX + padded(revision);
    }

    /** Returns the key of the controller lease of an availability zone. */
    public static String lease(String availabilityZone) {
        return "lease/" + availabilityZone;
    }

    /** Returns the key of the marker row of a committed change. */
    public static String change(String changeId) {
        return "change/" + changeId;
    }

    /** Returns the key of the audit record of one batch of a controller's orders. */
    public static String order(String availabilityZone, long fencingNumber, long sequence) {
        return ORDER_PREFIX + availabilityZone + "/" + padded(fencingNumber) + "/" + padded(sequence);
    }

    private static String padded(long number) {
        return String.format(Locale.ROOT, "%019d", number);
    }
}
