package firwheel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.AttemptId;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class StreamTest {
    private static final AttemptId ATTEMPT = new AttemptId(0, 1);
    private static final AttemptId OTHER = new AttemptId(0, 2);

    private final StreamBuffer buffer = new StreamBuffer(4);
    private final StreamAssembler assembler = new StreamAssembler(ATTEMPT);

    @Test
    void acceptsEachChunkOnceAndInOrder() {
        StreamChunk first = append("ab");
        StreamChunk second = append("cd");
        assertThat(assembler.accept(ATTEMPT, second)).isFalse();
        assertThat(assembler.accept(OTHER, first)).isFalse();
        assertThat(assembler.accept(ATTEMPT, first)).isTrue();
        assertThat(assembler.accept(ATTEMPT, first)).isFalse();
        assertThat(assembler.accept(ATTEMPT, second)).isTrue();
        assertThat(assembler.end(ATTEMPT, buffer.finish())).isEqualTo(StreamIntegrity.COMPLETE);
        assertThat(assembler.accept(ATTEMPT, second)).isFalse();
        assertThat(assembler.foreignFrames()).isEqualTo(1);
        assertThat(assembler.outOfOrderFrames()).isEqualTo(1);
        assertThat(assembler.duplicateFrames()).isEqualTo(2);
    }

    @Test
    void endFrameBeforeItsChunksRequestsTheMissingOnes() {
        assembler.accept(ATTEMPT, append("ab"));
        append("cd");
        assertThat(assembler.end(ATTEMPT, buffer.finish())).isEqualTo(StreamIntegrity.MISSING_CHUNKS);
        assertThat(buffer.chunksFrom(assembler.nextSequence())).hasSize(1);
        buffer.chunksFrom(assembler.nextSequence()).forEach(chunk -> assembler.accept(ATTEMPT, chunk));
        assertThat(assembler.end(ATTEMPT, buffer.finish())).isEqualTo(StreamIntegrity.COMPLETE);
    }

    @Test
    void changedByteIsCorrupt() {
        append("ab");
        assembler.accept(ATTEMPT, new StreamChunk(0, bytes("ax")));
        assertThat(assembler.end(ATTEMPT, buffer.finish())).isEqualTo(StreamIntegrity.CORRUPT);
    }

    @Test
    void bufferIsBoundedAndDropsAcknowledgedChunks() {
        append("ab");
        append("cd");
        assertThat(buffer.isFull()).isTrue();
        buffer.acknowledge(1);
        assertThat(buffer.isFull()).isFalse();
        assertThat(buffer.canResumeFrom(0)).isFalse();
        assertThat(buffer.canResumeFrom(1)).isTrue();
    }

    private StreamChunk append(String text) {
        return buffer.append(bytes(text));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
