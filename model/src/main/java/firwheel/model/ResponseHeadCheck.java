package firwheel.model;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether the head of a response comes from one response. A target that breaks off within a head and then writes
 * another response on the same connection leaves the status line of the second one inside the head of the first, and
 * fields that stand once in each response twice.
 */
public final class ResponseHeadCheck {
    private static final Set<String> SINGLE_HEADERS = Set.of("content-length", "content-type", "date");
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final int MAX_QUOTED_CHARS = 80;

    private final Set<String> singleHeaders = new HashSet<>(SINGLE_HEADERS);

    /**
     * Creates a check.
     *
     * @param protocolHeaders further headers that stand at most once in a response, in lower case
     */
    public ResponseHeadCheck(Set<String> protocolHeaders) {
        singleHeaders.addAll(protocolHeaders);
    }

    /** Returns why the head does not come from one response, or null if it may. */
    public @Nullable String violation(String reasonPhrase, Iterable<Map.Entry<String, String>> headers) {
        if (StatusLine.isIn(reasonPhrase)) {
            return "status line in reason phrase " + quote(reasonPhrase);
        }
        Set<String> names = new HashSet<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (StatusLine.isIn(header.getValue())) {
                return "status line in header " + quote(name + ": " + header.getValue());
            }
            if (!names.add(name) && singleHeaders.contains(name)) {
                return "header " + quote(name) + " twice";
            }
        }
        if (names.contains(CONTENT_LENGTH) && names.contains(TRANSFER_ENCODING)) {
            return "length stated by " + quote(CONTENT_LENGTH) + " and " + quote(TRANSFER_ENCODING);
        }
        return null;
    }

    /** Returns why the fields behind the content do not belong to the response, or null if they may. */
    public @Nullable String trailerViolation(Iterable<Map.Entry<String, String>> trailers) {
        for (Map.Entry<String, String> trailer : trailers) {
            String name = trailer.getKey().toLowerCase(Locale.ROOT);
            if (singleHeaders.contains(name) || StatusLine.isIn(trailer.getValue())) {
                return "field of a head behind the content: " + quote(name + ": " + trailer.getValue());
            }
        }
        return null;
    }

    /** Returns a text for a message: in quotes, of limited length, and without characters that are not printed. */
    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        text.chars()
                .limit(MAX_QUOTED_CHARS)
                .forEach(c -> quoted.append(isPrinted(c) ? Character.toString(c) : String.format("\\x%02x", c)));
        return quoted.append(text.length() > MAX_QUOTED_CHARS ? "...\"" : "\"").toString();
    }

    private static boolean isPrinted(int c) {
        return c >= ' ' && c <= '~';
    }
}
