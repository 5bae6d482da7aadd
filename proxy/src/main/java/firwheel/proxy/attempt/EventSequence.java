package firwheel.proxy.attempt;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which events continue a stream. All targets that serve one response share a sequence: an event continues it if
 * it consists of known fields only and has an identifier above all earlier ones. A block of comments continues it too.
 */
public final class EventSequence {
    /** Fields of an event stream, as defined by the HTML standard. */
    private static final Set<String> STANDARD_FIELDS = Set.of("id", "data", "event", "retry");

    private static final int MAX_ID_DIGITS = 18; // always fits into a long
    private static final long NO_EVENT = -1;

    private final Set<String> protocolFields;
    private long lastId = NO_EVENT;

    /**
     * Creates a sequence that continues after an event.
     *
     * @param protocolFields further fields that events may have, in lower case
     * @param lastEventId identifier of that event, or null if the stream has not begun
     */
    public EventSequence(Set<String> protocolFields, @Nullable String lastEventId) {
        this.protocolFields = protocolFields;
        lastId = lastEventId == null ? NO_EVENT : parseId(lastEventId);
    }

    /** Adds an event if it continues the sequence; otherwise returns the reason why it does not. */
    public @Nullable String tryAdd(EventSplitter.Event event) {
        String idText = null;
        boolean commentsOnly = true;
        for (String line : lines(event)) {
            int colon = line.indexOf(':');
            if (colon == 0) {
                continue;
            }
            String field = colon < 0 ? line : line.substring(0, colon);
            if (!isKnown(field)) {
                return "line " + quote(line) + " is no field of an event";
            }
            if (field.equals("id")) {
                if (idText != null) {
                    return "two identifiers in one event: " + quote(idText) + " and " + quote(line);
                }
                idText = colon < 0 ? "" : line.substring(colon + 1).trim();
            }
            commentsOnly = false;
        }
        return commentsOnly ? null : tryAdvance(idText);
    }

    private @Nullable String tryAdvance(@Nullable String idText) {
        if (idText == null) {
            return "event without an identifier after event " + lastId;
        }
        long id = parseId(idText);
        if (id == NO_EVENT) {
            return "event identifier " + quote(idText) + " is no number";
        }
        if (id <= lastId) {
            return "event " + id + " after event " + lastId;
        }
        lastId = id;
        return null;
    }

    private boolean isKnown(String field) {
        return STANDARD_FIELDS.contains(field) || protocolFields.contains(field.toLowerCase(Locale.ROOT));
    }

    private static String[] lines(EventSplitter.Event event) {
        return new String(event.bytes(), StandardCharsets.ISO_8859_1)
                .stripTrailing()
                .split("\r\n|\n|\r", -1);
    }

    /** Returns the number that an identifier is, or {@link #NO_EVENT} if it is none. */
    private static long parseId(String text) {
        boolean digits = !text.isEmpty()
                && text.length() <= MAX_ID_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits ? Long.parseLong(text) : NO_EVENT;
    }

    private static String quote(String text) {
        int maxLength = 80;
        return "\"" + (text.length() <= maxLength ? text : text.substring(0, maxLength) + "...") + "\"";
    }
}
