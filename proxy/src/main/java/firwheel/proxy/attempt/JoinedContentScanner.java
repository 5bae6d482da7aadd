package firwheel.proxy.attempt;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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

    /** A status line, as defined by RFC 9112, up to the end of its line. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}( .*)?$", Pattern.DOTALL);

    private static final String STATUS_LINE_FORM = "HTTP/0.0 000"; // 0 stands for any digit
    private static final Pattern HEADER_LINE = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*");
    private static final int MAX_LINE_BYTES = 1024; // longer lines are examined by their ends

    private final String idHeader;
    private final Predicate<String> isOwnId;
    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineLength;
    private boolean inHead;
    private boolean headSeen;
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
                onLine(lineText());
                lineLength = 0;
                start = i + 1;
            }
        }
        append(bytes, start, bytes.length);
    }

    /** Examines a last line without a line break, if the content has no stated length. */
    public void acceptEnd() {
        onLine(lineText());
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
        if (following.length == 0) {
            return inHead || headSeen || hasStatusLine(lineText()) || endsWithPartOfStatusLine("")
                    ? Boundary.UNDECIDED
                    : Boundary.SOUND;
        }
        String text = new String(following, StandardCharsets.ISO_8859_1);
        if (matchesForm(text)) {
            return text.length() < STATUS_LINE_FORM.length() ? Boundary.UNDECIDED : Boundary.SOUND;
        }
        if (inHead || headSeen || hasStatusLine(lineText())) {
            return Boundary.JOINED;
        }
        if (!endsWithPartOfStatusLine(text)) {
            return Boundary.SOUND;
        }
        return hasStatusLine(lineText() + firstLine(text)) ? Boundary.JOINED : Boundary.UNDECIDED;
    }

    /** Returns whether bytes are the beginning of a response, as far as they go. */
    public static boolean beginsResponse(byte[] bytes) {
        return matchesForm(new String(bytes, StandardCharsets.ISO_8859_1));
    }

    private void append(byte[] bytes, int from, int to) {
        int added = Math.min(to - from, MAX_LINE_BYTES);
        int kept = Math.min(lineLength, MAX_LINE_BYTES - added);
        System.arraycopy(line, lineLength - kept, line, 0, kept);
        System.arraycopy(bytes, to - added, line, kept, added);
        lineLength = kept + added;
    }

    private String lineText() {
        int end = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        return new String(line, 0, end, StandardCharsets.ISO_8859_1);
    }

    private void onLine(String text) {
        if (hasStatusLine(text)) {
            inHead = true;
            return;
        }
        if (!inHead) {
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

    private static boolean hasStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }

    /** Returns whether the content ends within a status line that {@code following} may continue. */
    private boolean endsWithPartOfStatusLine(String following) {
        String ending = new String(
                Arrays.copyOfRange(line, Math.max(0, lineLength - STATUS_LINE_FORM.length() + 1), lineLength),
                StandardCharsets.ISO_8859_1);
        for (int i = 0; i < ending.length(); i++) {
            if (matchesForm(ending.substring(i) + following)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a text begins like a status line, or is the beginning of one. */
    private static boolean matchesForm(String text) {
        for (int i = 0; i < Math.min(text.length(), STATUS_LINE_FORM.length()); i++) {
            char form = STATUS_LINE_FORM.charAt(i);
            boolean matches = form == '0' ? Character.isDigit(text.charAt(i)) : text.charAt(i) == form;
            if (!matches) {
                return false;
            }
        }
        return true;
    }

    private static String firstLine(String text) {
        return text.split("\r?\n", 2)[0];
    }
}
