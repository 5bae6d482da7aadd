package firwheel.store;

import java.util.List;

/** Paths and bodies of the HTTP form of the platform. */
public final class PlatformRequests {
    /** Path that reads rows; the body is {@link Read}. */
    public static final String READ_PATH = "/v1/rows/read";
    /** Path that scans rows; the body is {@link Scan}. */
    public static final String SCAN_PATH = "/v1/rows/scan";
    /** Path that applies a {@link Transaction}. */
    public static final String COMMIT_PATH = "/v1/rows/commit";
    /** Path of the host list. */
    public static final String HOSTS_PATH = "/v1/hosts";
    /** Path under which objects are read and written. */
    public static final String OBJECTS_PATH = "/v1/objects/";

    private PlatformRequests() {}

    /** Body of a read. */
    public record Read(List<String> keys) {}

    /** Body of a scan. */
    public record Scan(String prefix, String afterKey, int limit) {}
}
