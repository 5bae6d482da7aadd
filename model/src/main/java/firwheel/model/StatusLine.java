package firwheel.model;

import java.util.regex.Pattern;

/** The first line of a response, as defined by RFC 9112, where it may not stand. */
public final class StatusLine {
    /** Version, a space and the status code; 0 stands for any digit. */
    private static final String FORM = "HTTP/0.0 000";

    /** Length of the shortest status line. */
    public static final int MIN_LENGTH = FORM.length();

    private static final Pattern PATTERN =
            Pattern.compile(FORM.replace(".", "\\.").replace("0", "[0-9]") + "(?=[ \r\n]|$)", Pattern.CASE_INSENSITIVE);

    private StatusLine() {}

    /** Returns whether a status line begins anywhere in a text. */
    public static boolean isIn(String text) {
        return text.indexOf('/') >= 0 && PATTERN.matcher(text).find();
    }

    /** Returns whether a text begins with a status line, or is the beginning of one. */
    public static boolean mayBegin(String text) {
        for (int i = 0; i < Math.min(text.length(), FORM.length()); i++) {
            char form = FORM.charAt(i);
            char c = Character.toUpperCase(text.charAt(i));
            if (form == '0' ? c < '0' || c > '9' : c != form) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a text that {@link #mayBegin} is long enough to tell. */
    public static boolean isDecided(String text) {
        return text.length() >= FORM.length();
    }

    /** Returns whether a text ends within a status line that {@code following} may continue. */
    public static boolean mayStraddle(String text, String following) {
        for (int i = Math.max(0, text.length() - FORM.length() + 1); i < text.length(); i++) {
            if (mayBegin(text.substring(i) + following)) {
                return true;
            }
        }
        return false;
    }
}
