package firwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firwheel.model.AttemptId;
import firwheel.model.FirwheelException;
import java.util.Arrays;
import java.util.Collections;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MessageCodecTest {
    private final MessageCodec codec = new MessageCodec();
    private final AttemptId attempt = AttemptId.random(new SplittableRandom(1));

    @Nested
    final class RoundTrip {
        @Test
        void keepsEveryFieldOfAChunk() {
            AttemptMessage.Chunk chunk = new AttemptMessage.Chunk(attempt, 7, new byte[] {1, 2, -3});

            assertThat(codec.decode(codec.encode(chunk)))
                    .usingRecursiveComparison()
                    .isEqualTo(chunk);
        }

        @Test
        void keepsEveryFieldOfADispatch() {
            AttemptMessage.Dispatch dispatch = new AttemptMessage.Dispatch(
                    attempt,
                    -5,
                    "row",
                    3,
                    "org",
                    "NORMAL",
                    true,
                    "POST",
                    "/v1",
                    "json",
                    "",
                    new byte[] {9},
                    100,
                    20,
                    4,
                    50);

            assertThat(codec.decode(codec.encode(dispatch)))
                    .usingRecursiveComparison()
                    .isEqualTo(dispatch);
        }
    }

    @Nested
    final class Datagrams {
        private static final int MAX_BYTES = 1_472; // of an Ethernet frame without fragments
        private static final int MAC_BYTES = 16;

        @Test
        void holdReportsOfPartsWithIdentifiersOfTheLongestLength() {
            String longest = "x".repeat(64);
            MeshMessage.PartReport report = new MeshMessage.PartReport(
                    longest,
                    longest,
                    "f".repeat(32),
                    longest,
                    Long.MAX_VALUE,
                    true,
                    true,
                    Long.MAX_VALUE,
                    Long.MAX_VALUE);
            MeshMessage.PartReports reports =
                    new MeshMessage.PartReports(Collections.nCopies(MeshMessage.PartReports.MAX_REPORTS, report));

            byte[] frame = codec.encode(new MeshMessage.ZoneRelay("entry", codec.encode(reports)));

            assertThat(frame.length + MAC_BYTES).isLessThanOrEqualTo(MAX_BYTES);
            assertThat(codec.decode(codec.encode(reports))).isEqualTo(reports);
        }
    }

    @Nested
    final class OtherVersions {
        @Test
        void ignoresFieldsThatANewerVersionAdds() {
            byte[] frame = codec.encode(new LoadMessage.Probe(5));
            byte[] longer = Arrays.copyOf(frame, frame.length + 1);
            longer[1] = (byte) (frame[1] + 1);
            longer[frame.length] = 42;

            assertThat(codec.decode(longer)).isEqualTo(new LoadMessage.Probe(5));
        }

        @Test
        void returnsUnknownMessageForUnknownType() {
            assertThat(codec.decode(new byte[] {99, (byte) 0x90})).isEqualTo(new UnknownMessage(99));
        }
    }

    @Test
    void rejectsMalformedFields() {
        assertThatThrownBy(() -> codec.decode(new byte[] {13, 1, 2, 3}))
                .isInstanceOf(FirwheelException.class)
                .hasMessageContaining("FW-7003");
    }
}
