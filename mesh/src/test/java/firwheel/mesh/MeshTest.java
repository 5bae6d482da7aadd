package firwheel.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.TimeSource;
import firwheel.wire.MeshMessage.GroupLoad;
import firwheel.wire.MeshMessage.Heartbeat;
import firwheel.wire.MeshMessage.Member;
import firwheel.wire.MeshMessage.TargetLoad;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.DatagramSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Processes that exchange datagrams over loopback addresses. */
final class MeshTest {
    private static final int ZONES = 3;
    private static final int RANKS = 63;
    private static final GroupLoad LOAD = new GroupLoad(
            "group-0",
            1,
            true,
            0,
            IntStream.range(0, RANKS)
                    .mapToObj(rank -> new TargetLoad("10.11.12." + rank, 8_381, 1_780_000_000_000L + rank, 21, 1.25))
                    .toList(),
            List.of());
    private static final long TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Set<String> received = ConcurrentHashMap.newKeySet();
    private final Set<Heartbeat> announcements = ConcurrentHashMap.newKeySet();
    private final List<Member> members = new ArrayList<>();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static int freePort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket()) {
            return socket.getLocalPort();
        }
    }

    /** Starts a process of role agent and the given number of entries in each zone; returns the agent's mesh. */
    private Mesh startProcesses(int entriesPerZone) throws IOException {
        int port = freePort();
        members.clear();
        members.add(new Member("127.0.0.1", "zone-0", "agent", 1, 0));
        for (int i = 0; i < ZONES * entriesPerZone; i++) {
            members.add(new Member("127.0.0." + (i + 2), "zone-" + i % ZONES, "entry", 1, 0));
        }
        List<Mesh> meshes =
                members.stream().map(member -> newMesh(member, port)).toList();
        meshes.forEach(mesh -> mesh.start().join());
        return meshes.get(0);
    }

    private Mesh newMesh(Member self, int port) {
        Mesh mesh = new Mesh(
                vertx,
                TimeSource.system(),
                new SharedKey("secret"),
                port,
                self,
                (me, others) -> new Heartbeat(me, 1, 1, others));
        members.forEach(mesh.membership()::merge);
        mesh.onMessage(Heartbeat.class, (sender, heartbeat) -> {
            if (heartbeat.self().heartbeatSequence() == 1) {
                announcements.add(heartbeat);
            }
        });
        mesh.onMessage(GroupLoad.class, (sender, load) -> load.targets()
                .forEach(target -> received.add(self.ip() + " " + target.ip())));
        return mesh;
    }

    private long bytesOfBroadcast(Mesh mesh) throws InterruptedException {
        long[] bytes = new long[1];
        received.clear();
        CountDownLatch sent = new CountDownLatch(1);
        vertx.getOrCreateContext().runOnContext(ignored -> {
            long before = mesh.bytesSent();
            LOAD.parts().forEach(part -> mesh.broadcast("entry", part));
            bytes[0] = mesh.bytesSent() - before;
            sent.countDown();
        });
        assertThat(sent.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        return bytes[0];
    }

    private void awaitReceived(int count) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (received.size() < count && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Nested
    final class Broadcast {
        @Test
        void deliversLoadOfLargeGroupToAllProcessesOfRole() throws Exception {
            Mesh agent = startProcesses(4);

            bytesOfBroadcast(agent);
            awaitReceived(ZONES * 4 * RANKS);

            assertThat(received).hasSize(ZONES * 4 * RANKS);
        }

        @Test
        void sendsSameNumberOfBytesToManyReceiversAsToFew() throws Exception {
            long bytesToFew = bytesOfBroadcast(startProcesses(1));
            long bytesToMany = bytesOfBroadcast(startProcesses(12));

            assertThat(bytesToFew).isPositive();
            assertThat(bytesToMany).isEqualTo(bytesToFew);
        }
    }

    /** A host's clock may have been set back between the starts of two processes on it. */
    @Nested
    final class StartWithClockBehindEarlierProcess {
        private static final long EARLIER_INCARNATION = 1_780_000_002_400L;
        private static final long OWN_INCARNATION = 1_780_000_000_000L;

        @Test
        void doesNotKeepOthersFromFollowingTheNewProcess() throws Exception {
            int port = freePort();
            members.add(new Member("127.0.0.1", "zone-0", "entry", 1, 0));
            members.add(new Member("127.0.0.2", "zone-0", "agent", EARLIER_INCARNATION, 17));
            Set<Long> incarnations = ConcurrentHashMap.newKeySet();
            Mesh other = newMesh(members.get(0), port);
            other.onMessage(Heartbeat.class, (sender, heartbeat) -> other.membership()
                    .alive("agent")
                    .forEach(member -> incarnations.add(member.incarnation())));
            other.start().join();
            members.remove(1); // the new process learns of the earlier one only from others

            newMesh(new Member("127.0.0.2", "zone-0", "agent", OWN_INCARNATION, 0), port)
                    .start()
                    .join();
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (incarnations.stream().noneMatch(seen -> seen > EARLIER_INCARNATION)
                    && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(5);
            }

            assertThat(incarnations).contains(EARLIER_INCARNATION + 1);
        }
    }

    @Nested
    final class Start {
        @Test
        void announcesOnlyTheProcessItselfHoweverManyThereAre() throws Exception {
            startProcesses(12);
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (announcements.isEmpty() && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(5);
            }

            assertThat(announcements).isNotEmpty().allSatisfy(announcement -> assertThat(announcement.others())
                    .isEmpty());
        }
    }
}
