package firwheel.experts.plan;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TransferSchedulerTest {
    private static final ExpertMove MOVE =
            new ExpertMove(ExpertMove.Kind.EVACUATE, 0, 1, ExpertMove.WEIGHT_STORE, 2, -1);
    private final TransferScheduler scheduler = new TransferScheduler(100);

    private void add(String group, long planNumber, int count, long bytes) {
        for (int index = 0; index < count; index++) {
            scheduler.add(new ExpertTransfer(group, planNumber, MOVE, bytes, ""));
        }
    }

    private Map<String, Long> bytesStarted(int fromSecond, int toSecond) {
        Map<String, Long> bytes = new HashMap<>();
        for (int second = fromSecond; second < toSecond; second++) {
            Optional<ExpertTransfer> next = scheduler.next(Duration.ofSeconds(second));
            next.ifPresent(transfer -> bytes.merge(transfer.group(), transfer.bytes(), Long::sum));
        }
        return bytes;
    }

    @Test
    void limitsRateAndSharesItFairlyAcrossTransferSizes() {
        add("large", 1, 100, 400);
        add("small", 1, 400, 100);
        Map<String, Long> bytes = bytesStarted(0, 100);
        assertThat(bytes.values().stream().mapToLong(Long::longValue).sum()).isBetween(9_600L, 10_400L);
        assertThat(bytes.get("large")).isBetween(4_600L, 5_400L);
        assertThat(bytes.get("small")).isBetween(4_600L, 5_400L);
    }

    @Test
    void givesNoCreditToIdleGroups() {
        add("early", 1, 200, 100);
        add("late", 1, 1, 100);
        bytesStarted(0, 100);
        add("late", 1, 200, 100);
        Map<String, Long> bytes = bytesStarted(100, 120);
        assertThat(bytes.get("early")).isBetween(900L, 1_100L);
    }

    @Test
    void cancelsTransfersOfSupersededPlans() {
        add("group", 1, 3, 100);
        add("group", 2, 1, 100);
        assertThat(scheduler.supersede("group", 2)).hasSize(3).allMatch(transfer -> transfer.planNumber() == 1);
        add("group", 1, 1, 100);
        assertThat(bytesStarted(0, 10)).containsEntry("group", 100L);
    }

    @Test
    void rejectsWeightsWithWrongDigestOrSize() throws Exception {
        byte[] weights = "weights of version 7".getBytes(StandardCharsets.UTF_8);
        byte[] other = "weights of version 8".getBytes(StandardCharsets.UTF_8);
        String digest =
                HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(weights));
        ExpertTransfer transfer = new ExpertTransfer("group", 1, MOVE, weights.length, digest);
        assertThat(TransferScheduler.matchesDigest(transfer, ByteBuffer.wrap(weights)))
                .isTrue();
        assertThat(TransferScheduler.matchesDigest(transfer, ByteBuffer.wrap(other)))
                .isFalse();
        assertThat(TransferScheduler.matchesDigest(transfer, ByteBuffer.wrap(weights, 0, 5)))
                .isFalse();
    }
}
