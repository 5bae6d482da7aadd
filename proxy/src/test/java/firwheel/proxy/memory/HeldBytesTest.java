package firwheel.proxy.memory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.memory.HeldBytes.Kind;
import firwheel.proxy.memory.HeldBytes.Share;
import io.vertx.core.buffer.Buffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HeldBytesTest {
    private static final int KIB = 1024;
    private static final int LIMIT_BYTES = 1024 * KIB;

    private final HeldBytes heldBytes = new HeldBytes(new ManualTimeSource(Instant.EPOCH), LIMIT_BYTES);
    private final List<String> givenWay = new ArrayList<>();

    private Share share(String name) {
        return heldBytes.open(Kind.RESPONSE, () -> true, () -> givenWay.add(name));
    }

    @Nested
    final class OverTheLimit {
        @Test
        void whatKeepsMostGivesWay() {
            Share large = share("large");
            Share medium = share("medium");
            Share grower = share("grower");
            large.set(600 * KIB);
            medium.set(300 * KIB);

            assertThat(grower.set(200 * KIB)).isTrue();
            assertThat(givenWay).containsExactly("large");
            assertThat(large.isClosed()).isTrue();
            assertThat(heldBytes.total()).isEqualTo(500 * KIB);
            assertThat(heldBytes.givenUp(Kind.RESPONSE)).isEqualTo(1);
        }

        @Test
        void whatGrowsGivesWayIfItKeepsMost() {
            share("other").set(400 * KIB);
            Share grower = share("grower");
            grower.set(600 * KIB);

            assertThat(grower.set(700 * KIB)).isFalse();
            assertThat(givenWay).containsExactly("grower");
            assertThat(grower.set(1)).isFalse();
        }

        @Test
        void whatKeepsLittleNeverGivesWay() {
            for (int i = 0; i < 100; i++) {
                assertThat(share("small-" + i).set(HeldBytes.SMALL_BYTES)).isTrue();
            }

            assertThat(givenWay).isEmpty();
            assertThat(heldBytes.total()).isEqualTo(100L * HeldBytes.SMALL_BYTES);
        }

        @Test
        void whatCannotBeGivenUpIsKept() {
            heldBytes
                    .open(Kind.REQUEST, () -> false, () -> givenWay.add("sent"))
                    .set(900 * KIB);
            Share grower = share("grower");

            assertThat(grower.set(200 * KIB)).isFalse();
            assertThat(givenWay).containsExactly("grower");
        }

        @Test
        void nothingMoreGivesWayThanIsNeeded() {
            for (int i = 0; i < 10; i++) {
                share("share-" + i).set((50L + i) * KIB);
            }
            share("grower").set(520 * KIB);

            assertThat(givenWay).containsExactly("grower");
        }
    }

    @Test
    void isBoundedByWhatTheHeapCanTake() {
        assertThat(HeldBytes.ofHeap(new ManualTimeSource(Instant.EPOCH)).limitBytes())
                .isPositive()
                .isLessThan(Runtime.getRuntime().maxMemory() / 2);
        assertThatThrownBy(() -> new HeldBytes(new ManualTimeSource(Instant.EPOCH), KIB))
                .hasMessageContaining("limit of 1024 bytes");
    }

    @Nested
    final class Collected {
        private final CollectedBytes collected = new CollectedBytes(share("collected"));

        @Test
        void bytesAreThoseAppendedInOrderAndTakeAtMostTwiceTheirSize() {
            Random random = new Random(65);
            Buffer expected = Buffer.buffer();
            while (expected.length() < 400 * KIB) {
                byte[] part = new byte[1 + random.nextInt(random.nextInt(8) == 0 ? 40 * KIB : 100)];
                random.nextBytes(part);
                expected.appendBytes(part);
                assertThat(collected.append(Buffer.buffer(part))).isTrue();
                assertThat(heldBytes.total()).isLessThanOrEqualTo(2L * expected.length() + KIB);
            }

            assertThat(collected.toBytes()).isEqualTo(expected.getBytes());
            assertThat(collected.length()).isEqualTo(expected.length());
            assertThat(collected.toByteBuf().readableBytes()).isEqualTo(expected.length());
        }

        @Test
        void bytesAreNoLongerAppendedOnceTheyHaveGivenWay() {
            assertThat(collected.append(Buffer.buffer(new byte[2 * LIMIT_BYTES])))
                    .isFalse();
            assertThat(givenWay).containsExactly("collected");
            assertThat(collected.append(Buffer.buffer("x"))).isFalse();
        }

        @Test
        void bytesThatWereReleasedAreNotAccountedFor() {
            collected.append(Buffer.buffer(new byte[KIB]));
            collected.release();

            assertThat(heldBytes.total()).isZero();
            assertThat(collected.toBytes()).isEmpty();
        }
    }
}
