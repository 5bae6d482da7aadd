package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PackedPlacementTest {
    private static int[][][] randomPlacement(Random random, int layers, int ranks, int experts) {
        int[][][] placement = new int[layers][ranks][];
        for (int[][] layer : placement) {
            Arrays.setAll(
                    layer, rank -> random.ints(random.nextInt(6), 0, experts).toArray());
        }
        return placement;
    }

    @Nested
    final class Unpack {
        @Test
        void returnsPackedPlacement() {
            Random random = new Random(1);
            for (int experts : new int[] {1, 252, 256, 300, 60_000}) {
                int[][][] placement = randomPlacement(random, 8, 63, experts);

                assertThat(PackedPlacement.unpack(PackedPlacement.pack(placement)))
                        .isDeepEqualTo(placement);
            }
        }

        @Test
        void returnsEmptyPlacementForNoBytes() {
            assertThat(PackedPlacement.unpack(PackedPlacement.pack(new int[0][][])))
                    .isEmpty();
        }

        @Test
        void failsOnTruncatedBytes() {
            byte[] packed = PackedPlacement.pack(randomPlacement(new Random(2), 2, 3, 9));

            assertThatThrownBy(() -> PackedPlacement.unpack(Arrays.copyOf(packed, packed.length - 1)))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("ends early");
        }
    }
}
