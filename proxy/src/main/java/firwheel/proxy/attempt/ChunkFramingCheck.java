package firwheel.proxy.attempt;

import firwheel.model.FieldLineSyntax;
import firwheel.model.StatusLine;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Checks the framing of a chunked body, as defined by RFC 9112, with the fields behind its last chunk. A lenient decoder
 * ignores the rest of a line with a chunk size, where another response may begin if the target broke off there, and part
 * of the name of a field.
 */
public final class ChunkFramingCheck {
    private static final Pattern SIZE_LINE = Pattern.compile("[0-9A-Fa-f]{1,8}[ \t]*(;[^\r]*)?\r");
    private static final int MAX_SIZE_LINE_CHARS = 256;
    private static final int HEX = 16;
    private static final int LINE_BREAK_BYTES = 2;

    private final StringBuilder sizeLine = new StringBuilder();
    private long remainingBytes; // of the content of a chunk and the line break behind it
    private @Nullable FieldLineSyntax trailers; // null up to the last chunk
    private @Nullable String violation;

    /** Checks the next bytes of the body and returns why they are no chunks, or null if they may be. */
    public @Nullable String accept(byte[] bytes) {
        int i = 0;
        while (i < bytes.length && violation == null) {
            FieldLineSyntax fields = trailers;
            if (fields != null && fields.ended()) {
                return null;
            } else if (fields != null) {
                fields.accept((char) (bytes[i++] & 0xFF));
                violation = fields.violation();
            } else if (remainingBytes > LINE_BREAK_BYTES) {
                long skipped = Math.min(bytes.length - i, remainingBytes - LINE_BREAK_BYTES);
                remainingBytes -= skipped;
                i += (int) skipped;
            } else if (remainingBytes > 0) {
                acceptLineBreak((char) bytes[i++]);
            } else {
                acceptSizeLine((char) (bytes[i++] & 0xFF));
            }
        }
        return violation;
    }

    /** Returns whether the last chunk has been read, so that only trailers follow. */
    public boolean inTrailers() {
        return trailers != null;
    }

    private void acceptLineBreak(char c) {
        char expected = remainingBytes == LINE_BREAK_BYTES ? '\r' : '\n';
        remainingBytes--;
        if (c != expected) {
            violation = "no line break behind a chunk";
        }
    }

    private void acceptSizeLine(char c) {
        if (c != '\n' && sizeLine.length() < MAX_SIZE_LINE_CHARS) {
            sizeLine.append(c);
            return;
        }
        String line = sizeLine.toString();
        sizeLine.setLength(0);
        if (!SIZE_LINE.matcher(line).matches() || StatusLine.isIn(line)) {
            violation = "no chunk size in line \"" + line.strip() + "\"";
            return;
        }
        long sizeBytes = Long.parseLong(line.split("[ \t;\r]", 2)[0], HEX);
        if (sizeBytes == 0) {
            trailers = new FieldLineSyntax();
        } else {
            remainingBytes = sizeBytes + LINE_BREAK_BYTES;
        }
    }
}
