package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class CompressedPlacementTest {
    private static byte[] packed(int layers) {
        Random random = new Random(1);
        int[][][] placement = new int[layers][129][];
        for (int[][] layer : placement) {
            Arrays.setAll(layer, rank -> random.ints(3, 0, 258).toArray());
        }
        return PackedPlacement.pack(placement);
    }

    @Test
    void expandsCompressedBytes() {
        byte[] packed = packed(16);
        byte[] compressed = CompressedPlacement.compress(packed);

        assertThat(compressed).hasSizeLessThan(packed.length);
        assertThat(CompressedPlacement.expand(compressed)).isEqualTo(packed);
    }

    @Test
    void passesOnPackedBytesOfOlderAgents() {
        assertThat(CompressedPlacement.expand(packed(1))).isEqualTo(packed(1));
        assertThat(CompressedPlacement.expand(CompressedPlacement.compress(new byte[0])))
                .isEmpty();
    }

    @Test
    void failsOnDamagedBytes() {
        byte[] compressed = CompressedPlacement.compress(packed(16));

        assertThatThrownBy(() -> CompressedPlacement.expand(Arrays.copyOf(compressed, 100)))
                .isInstanceOf(UncheckedIOException.class)
                .hasMessageContaining("100 compressed bytes is damaged");
    }

    @Test
    void failsOnBytesThatExpandBeyondTheLimit() {
        byte[] compressed = CompressedPlacement.compress(new byte[2 * 1024 * 1024]);

        assertThatThrownBy(() -> CompressedPlacement.expand(compressed))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("expands to over 1048576 bytes");
    }
}
