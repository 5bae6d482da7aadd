package firwheel.table;

import java.util.Locale;

/** Layout of the keys that firwheel writes in the platform's table service. */
public final class TableKeys {
    /** Row that holds the present table revision. */
    public static final String REVISION = "table/revision";
    /** Prefix of the rows of the table. */
    public static final String ROW_PREFIX = "table/row/";
    /** Prefix of the audit records, one for each revision. */
    public static final String AUDIT_PREFIX = "audit/";
    /** Prefix of the audit records of controllers' orders. */
    public static final String ORDER_PREFIX = "order/";

    private TableKeys() {}

    /** Returns the key of the table row with this name. */
    public static String row(String name) {
        return ROW_PREFIX + name;
    }

    /** Returns the key of the audit record of this revision; keys sort by revision. */
    public static String audit(long revision) {
        return AUDIT_PREFIX + padded(revision);
    }

    /** Returns the key of the controller lease of this zone. */
    public static String lease(String availabilityZone) {
        return "lease/" + availabilityZone;
    }

    /** Returns the key that marks an accepted change. */
    public static String change(String changeId) {
        return "change/" + changeId;
    }

    /** Returns the key of the audit record of one order of a zone's controller. */
    public static String order(String availabilityZone, long fencingNumber, long sequence) {
        return ORDER_PREFIX + availabilityZone + "/" + padded(fencingNumber) + "/" + padded(sequence);
    }

    private static String padded(long number) {
        return String.format(Locale.ROOT, "%019d", number);
    }
}
