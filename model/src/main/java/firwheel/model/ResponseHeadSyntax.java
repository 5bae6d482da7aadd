package firwheel.model;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Checks the bytes of one response's head, as they arrive, against the grammar of RFC 9112 and the range of statuses of
 * RFC 9110. Decoders are lenient with responses and drop or repair what is not in the grammar, so that the heads that
 * they return cannot be checked instead.
 */
public final class ResponseHeadSyntax {
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/[0-9]\\.[0-9] [1-5][0-9]{2}( [\\t\\x20-\\x7E\\x80-\\xFF]*)?");

    private static final int STATUS_INDEX = "HTTP/1.1 ".length();
    private static final int STATUS_DIGITS = 3;
    private static final int RADIX = 10;

    private final StringBuilder statusLine = new StringBuilder();
    private final FieldLineSyntax fieldLines = new FieldLineSyntax();
    private boolean statusLineEnded;
    private @Nullable String violation;

    /** Checks the next bytes of the head; those behind its end, or behind a violation, have no effect. */
    public void accept(byte[] bytes) {
        var unused = accept(bytes, 0);
    }

    /** Checks bytes from {@code from} on, and returns the index behind the last one that belongs to the head. */
    public int accept(byte[] bytes, int from) {
        int next = from;
        while (next < bytes.length && !ended() && violation == null) {
            char c = (char) (bytes[next++] & 0xFF);
            if (statusLineEnded) {
                fieldLines.accept(c);
                violation = fieldLines.violation();
            } else {
                acceptStatusLine(c);
            }
        }
        return next;
    }

    /** Returns whether the empty line behind the head has been read. */
    public boolean ended() {
        return fieldLines.ended();
    }

    /** Returns the status, or 0 if the status line has not been read or is a violation. */
    public int status() {
        return statusLineEnded && violation == null
                ? Integer.parseInt(statusLine, STATUS_INDEX, STATUS_INDEX + STATUS_DIGITS, RADIX)
                : 0;
    }

    /** Returns why the bytes so far are not the head of a response, or null if they may be. */
    public @Nullable String violation() {
        return violation;
    }

    private void acceptStatusLine(char c) {
        if (c != '\n') {
            statusLine.append(c);
            return;
        }
        statusLineEnded = true;
        int end = statusLine.length() - 1;
        if (end >= 0 && statusLine.charAt(end) == '\r') {
            statusLine.setLength(end);
        }
        if (!STATUS_LINE.matcher(statusLine).matches()) {
            violation =
                    "no status line with a status from 100 to 599: " + ResponseHeadCheck.quote(statusLine.toString());
        }
    }
}
