package firwheel.experts;

import java.util.Objects;

/**
 * Content-based identifier of an expert map.
 *
 * @param digest hash of the map's content, in hexadecimal
 */
public record MapId(String digest) {
    public MapId {
        Objects.requireNonNull(digest, "digest");
    }
}
