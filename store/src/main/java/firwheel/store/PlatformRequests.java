package firwheel.store;

import java.util.List;

/** Paths and request bodies of the platform's HTTP interface. */
public final class PlatformRequests {
    /** Path for reading rows; the body is a {@link Read}. */
    public static final String READ_PATH = "/v1/rows/read";
    /** Path for scanning rows; the body is a {@link Scan}. */
    public static final String SCAN_PATH = "/v1/rows/scan";
    /** Path for committing; the body is a {@link Transaction}. */
    public static final String COMMIT_PATH = "/v1/rows/commit";
    /** Path of the host list. */
    public static final String HOSTS_PATH = "/v1/hosts";
    /** Prefix of the path of an object. */
    public static final String OBJECTS_PATH = "/v1/objects/";

    private PlatformRequests() {}

    /** Request body for reading rows. */
    public record Read(List<String> keys) {}

    /** Request body for scanning rows. */
    public record Scan(String prefix, String afterKey, int limit) {}
}
