package firwheel.proxy.attempt;

import firwheel.model.StatusLine;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Finds a second response inside the content of a response. A target that breaks off within its content and then writes
 * another response on the same connection has that one read as content, as far as the stated length reaches. Content
 * that only quotes a response is told apart by the identifier in the quoted head, and by the bytes that follow the
 * content.
 */
public final class JoinedContentScanner {
    /** What the bytes that follow the content show. */
    public enum Boundary {
        /** The content ends where the response does. */
        SOUND,
        /** A response that begins inside the content goes on behind it. */
        JOINED,
        /** Further bytes may show either. */
        UNDECIDED
    }

    private static final Pattern HEADER_LINE = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*");
    private static final int MAX_LINE_BYTES = 1024; // of longer lines the end is kept

    private final String idHeader;
    private final Predicate<String> isOwnId;
    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineLength;
    private boolean statusLineDropped;
    private boolean inHead;
    private boolean headSeen;
    private boolean endsBehindHead;
    private @Nullable String joinedId;

    /**
     * Creates a scanner for the content of one response.
     *
     * @param idHeader header with the identifier of the request that a response belongs to
     * @param isOwnId whether a request with an identifier was sent on the connection
     */
    public JoinedContentScanner(String idHeader, Predicate<String> isOwnId) {
        this.idHeader = idHeader;
        this.isOwnId = isOwnId;
    }

    /** Examines the next bytes of the content. */
    public void accept(byte[] bytes) {
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                append(bytes, start, i);
                onLine();
                lineLength = 0;
                statusLineDropped = false;
                start = i + 1;
            }
        }
        append(bytes, start, bytes.length);
        endsBehindHead = endsBehindHead && lineLength == 0;
    }

    /** Examines a last line without a line break, if the content has no stated length. */
    public void acceptEnd() {
        onLine();
    }

    /** Returns why the content is not one response's, or null if it may be. */
    public @Nullable String violation() {
        return joinedId == null ? null : "head of a response to attempt " + joinedId + " inside the content";
    }

    /**
     * Decides by the bytes that follow the content whether it ends where the response does.
     *
     * @param following all bytes received behind the content, which may be none
     */
    public Boundary atEnd(byte[] following) {
        String line = lineText();
        if (following.length == 0) {
            return isInHeadAtEnd() || StatusLine.mayStraddle(line, "") ? Boundary.UNDECIDED : Boundary.SOUND;
        }
        String text = new String(following, StandardCharsets.ISO_8859_1);
        if (StatusLine.mayBegin(text)) {
            boolean endsInHead = inHead || lineHasStatusLine() || endsBehindHead;
            Boundary beforeResponse = endsInHead ? Boundary.JOINED : Boundary.SOUND;
            return StatusLine.isDecided(text) ? beforeResponse : Boundary.UNDECIDED;
        }
        if (isInHeadAtEnd()) {
            return Boundary.JOINED;
        }
        if (!StatusLine.mayStraddle(line, text)) {
            return Boundary.SOUND;
        }
        return StatusLine.isIn(line + text) ? Boundary.JOINED : Boundary.UNDECIDED;
    }

    /** Returns whether bytes are the beginning of a response, as far as they go. */
    public static boolean beginsResponse(byte[] bytes) {
        return StatusLine.mayBegin(new String(bytes, StandardCharsets.ISO_8859_1));
    }

    private boolean isInHeadAtEnd() {
        return inHead || headSeen || endsBehindHead || lineHasStatusLine();
    }

    private void append(byte[] bytes, int from, int to) {
        int added = Math.min(to - from, MAX_LINE_BYTES);
        int kept = Math.min(lineLength, MAX_LINE_BYTES - added);
        if (lineLength + (to - from) > MAX_LINE_BYTES) {
            String whole = text(line, 0, lineLength) + text(bytes, from, to);
            statusLineDropped = statusLineDropped || StatusLine.isIn(whole);
        }
        System.arraycopy(line, lineLength - kept, line, 0, kept);
        System.arraycopy(bytes, to - added, line, kept, added);
        lineLength = kept + added;
    }

    private void onLine() {
        if (!inHead) {
            endsBehindHead = false;
            inHead = lineHasStatusLine();
            return;
        }
        endsBehindHead = lineText().isEmpty();
        if (lineHasStatusLine()) {
            return;
        }
        String text = lineText();
        boolean folded = text.startsWith(" ") || text.startsWith("\t"); // continues the line before
        if (folded) {
            return;
        }
        Matcher header = HEADER_LINE.matcher(text);
        inHead = header.matches();
        if (inHead) {
            headSeen = true;
            if (header.group(1).equalsIgnoreCase(idHeader) && isOwnId.test(header.group(2))) {
                joinedId = header.group(2);
            }
        }
    }

    private boolean lineHasStatusLine() {
        return statusLineDropped || (lineLength >= StatusLine.MIN_LENGTH && StatusLine.isIn(lineText()));
    }

    private String lineText() {
        int end = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        return text(line, 0, end);
    }

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }
}
