package firwheel.model;

import org.jspecify.annotations.Nullable;

/**
 * Checks field lines, of a head or behind the last chunk, up to the empty line that ends them: each is a token and a
 * colon, as defined by RFC 9112, or continues the value before it. What a value holds is not checked.
 */
public final class FieldLineSyntax {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private enum Place {
        LINE_START,
        NAME,
        VALUE,
        EMPTY_LINE,
        ENDED
    }

    private final StringBuilder name = new StringBuilder();
    private Place place = Place.LINE_START;
    private boolean valueBefore;
    private @Nullable String violation;

    /** Checks the next byte; it must not stand behind the end or a violation. */
    public void accept(char c) {
        switch (place) {
            case LINE_START, NAME -> acceptName(c);
            case VALUE -> acceptValue(c);
            case EMPTY_LINE -> {
                place = Place.ENDED;
                violation = c == '\n' ? null : "bytes behind the carriage return of an empty line";
            }
            case ENDED -> throw new IllegalStateException("the field lines have ended");
        }
    }

    /** Returns whether the empty line has been read. */
    public boolean ended() {
        return place == Place.ENDED;
    }

    /** Returns why the bytes so far are not field lines, or null if they may be. */
    public @Nullable String violation() {
        return violation;
    }

    private void acceptName(char c) {
        boolean lineStart = place == Place.LINE_START;
        if (isTokenByte(c)) {
            name.append(c);
            place = Place.NAME;
        } else if (c == ':' && !lineStart) {
            name.setLength(0);
            place = Place.VALUE;
        } else if (lineStart && (c == ' ' || c == '\t') && valueBefore) {
            place = Place.VALUE;
        } else if (lineStart && c == '\r') {
            place = Place.EMPTY_LINE;
        } else if (lineStart && c == '\n') {
            place = Place.ENDED;
        } else {
            violation = String.format(
                    "name of a field goes on with byte 0x%02x: %s",
                    (int) c, ResponseHeadCheck.quote(name.toString() + c));
        }
    }

    private void acceptValue(char c) {
        if (c == '\n') {
            valueBefore = true;
            place = Place.LINE_START;
        }
    }

    private static boolean isTokenByte(char c) {
        return (c >= '0' && c <= '9')
                || (c >= 'A' && c <= 'Z')
                || (c >= 'a' && c <= 'z')
                || TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }
}
