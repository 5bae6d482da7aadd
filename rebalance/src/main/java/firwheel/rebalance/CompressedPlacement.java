package firwheel.rebalance;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.zip.Deflater;
import java.util.zip.InflaterInputStream;

/** Compresses packed placements (RFC 1950), whose experts have many bits in common. */
final class CompressedPlacement {
    private static final int MAX_PACKED_BYTES = 1024 * 1024; // several times that of the largest group
    private static final int FIRST_BYTE = 0x78; // of compressed bytes; packed ones begin with a width of 1 or 2

    private CompressedPlacement() {}

    /** Returns compressed bytes; none if there are none. */
    static byte[] compress(byte[] packed) {
        if (packed.length == 0) {
            return packed;
        }
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(packed);
            deflater.finish();
            byte[] compressed = new byte[2 * packed.length + 64]; // incompressible bytes grow by less
            return Arrays.copyOf(compressed, deflater.deflate(compressed));
        } finally {
            deflater.end();
        }
    }

    /** Returns the packed bytes of compressed or packed ones; fails if they are damaged or exceed the limit. */
    static byte[] expand(byte[] bytes) {
        if (bytes.length == 0 || bytes[0] != FIRST_BYTE) {
            return bytes;
        }
        try (InputStream stream = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] packed = stream.readNBytes(MAX_PACKED_BYTES + 1);
            if (packed.length > MAX_PACKED_BYTES) {
                throw new IllegalArgumentException("placement of " + bytes.length + " compressed bytes expands to over "
                        + MAX_PACKED_BYTES + " bytes");
            }
            return packed;
        } catch (IOException e) {
            throw new UncheckedIOException("placement of " + bytes.length + " compressed bytes is damaged", e);
        }
    }
}
