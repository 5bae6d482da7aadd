package firwheel.experts;

import java.util.Objects;

/**
 * Names an expert map by its content.
 *
 * @param digest digest of the map's content
 */
public record MapId(String digest) {
    public MapId {
        Objects.requireNonNull(digest, "digest");
    }
}
