package firwheel.proxy.attempt;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of an event stream ({@code text/event-stream}) into complete events. An event ends with an empty
 * line. Its bytes, including the empty line, are kept unchanged.
 */
public final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 1024 * 1024; // limits memory use if a target never ends an event

    /**
     * One complete event.
     *
     * @param bytes the unchanged bytes of the event
     * @param id value of its {@code id} field, or null if it has none
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Event(byte[] bytes, @Nullable String id) {}

    private static final int MAX_REUSED_BYTES = 16 * 1024; // a larger buffer is not kept for the next event

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean atLineStart = true;

    /**
     * Consumes the next bytes and returns the events that they complete.
     *
     * @throws IllegalStateException if the bytes after the last complete event exceed the maximum size of an event
     */
    public List<Event> accept(byte[] bytes) {
        List<Event> events = new ArrayList<>(1);
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            byte b = bytes[i];
            if (b == '\r') {
                continue;
            }
            if (b != '\n') {
                atLineStart = false;
                continue;
            }
            if (atLineStart && (pending.size() > 0 || i > start)) {
                pending.write(bytes, start, i + 1 - start);
                start = i + 1;
                events.add(takeEvent());
            }
            atLineStart = true;
        }
        pending.write(bytes, start, bytes.length - start);
        if (pending.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /** Returns the number of bytes received after the last complete event. */
    public int pendingBytes() {
        return pending.size();
    }

    /** Returns the bytes received after the last complete event. */
    public byte[] remainder() {
        return pending.toByteArray();
    }

    private Event takeEvent() {
        byte[] eventBytes = pending.toByteArray();
        if (eventBytes.length > MAX_REUSED_BYTES) {
            pending = new ByteArrayOutputStream();
        } else {
            pending.reset();
        }
        return new Event(eventBytes, parseId(eventBytes));
    }

    private static @Nullable String parseId(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        int idFieldStart = text.startsWith("id:") ? 0 : text.indexOf("\nid:") + 1;
        if (idFieldStart == 0 && !text.startsWith("id:")) {
            return null;
        }
        int end = text.indexOf('\n', idFieldStart);
        return text.substring(idFieldStart + "id:".length(), end < 0 ? text.length() : end)
                .trim();
    }
}
