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
            Pattern.compile("HTTP/[0-9]\\.[0-9] [1-5][0-9]{2}( [\\t\\x20-\\x7E\\x80-\\xFF]*)?\r?");

    private final StringBuilder statusLine = new StringBuilder();
    private final FieldLineSyntax fieldLines = new FieldLineSyntax();
    private boolean statusLineEnded;
    private @Nullable String violation;

    /** Checks the next bytes of the head; those behind its end, or behind a violation, have no effect. */
    public void accept(byte[] bytes) {
        for (int i = 0; i < bytes.length && !fieldLines.ended() && violation == null; i++) {
            char c = (char) (bytes[i] & 0xFF);
            if (statusLineEnded) {
                fieldLines.accept(c);
                violation = fieldLines.violation();
            } else {
                acceptStatusLine(c);
            }
        }
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
        if (!STATUS_LINE.matcher(statusLine).matches()) {
            violation =
                    "no status line with a status from 100 to 599: " + ResponseHeadCheck.quote(statusLine.toString());
        }
    }
}
