package firwheel.mesh;

import firwheel.model.FirwheelException;
import firwheel.model.TimeSource;
import firwheel.wire.MeshMessage;
import firwheel.wire.MeshMessage.Heartbeat;
import firwheel.wire.MeshMessage.Member;
import firwheel.wire.MeshMessage.ZoneRelay;
import firwheel.wire.Message;
import firwheel.wire.MessageCodec;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges datagrams with the other processes of a deployment. Each datagram carries a message authentication code
 * (MAC) computed with the shared key; others are dropped and counted. A heartbeat is sent to a few processes at a time,
 * so that the cost per process does not grow with their number. All methods run on one event loop.
 */
public final class Mesh {
    private static final Duration HEARTBEAT_INTERVAL =
            Duration.ofSeconds(1); // changes are announced at once; heartbeats only make up for lost datagrams
    private static final int HEARTBEAT_FANOUT = 2; // heartbeats reach 400 processes in about nine rounds
    private static final int CHANGE_FANOUT =
            5; // if 20 processes announce a change, each of 30 misses it with a probability of 3%
    private static final int MAX_SAMPLED_MEMBERS = 24; // keeps a heartbeat within one packet
    private static final int MAC_BYTES = 16; // half of the hash, as is usual for short messages
    private static final Logger logger = LoggerFactory.getLogger(Mesh.class);

    /** Creates heartbeats that carry the state known to this process. */
    @FunctionalInterface
    public interface HeartbeatFactory {
        /** Returns the heartbeat of {@code self} that includes {@code others}. */
        Heartbeat create(Member self, List<Member> others);
    }

    private final Vertx vertx;
    private final DatagramSocket socket;
    private final SharedKey key;
    private final int port;
    private final HeartbeatFactory heartbeatFactory;
    private final Membership membership;
    private final MessageCodec codec = new MessageCodec();
    private final Map<Class<?>, BiConsumer<String, Message>> handlers = new HashMap<>();
    private Member self;
    private long droppedDatagrams;
    private long bytesSent;

    /** Creates a mesh that is not started; all processes use the same {@code port}. */
    public Mesh(Vertx vertx, TimeSource time, SharedKey key, int port, Member self, HeartbeatFactory heartbeatFactory) {
        this.vertx = vertx;
        this.key = key;
        this.port = port;
        this.self = self;
        this.heartbeatFactory = heartbeatFactory;
        membership = new Membership(time, new Random(), self.ip());
        socket = vertx.createDatagramSocket(new DatagramSocketOptions());
    }

    /** Starts listening and sending heartbeats. */
    public CompletableFuture<Void> start() {
        socket.handler(this::onPacket);
        socket.exceptionHandler(error -> logger.atDebug().setCause(error).log("datagram socket error"));
        return socket.listen(port, self.ip())
                .onSuccess(listening -> {
                    vertx.setPeriodic(HEARTBEAT_INTERVAL.toMillis(), id -> sendHeartbeat());
                    // Announces this process to all others at once; gossip would take seconds. When all start together,
                    // each receives as many announcements as there are processes, so they carry no other members.
                    send(membership.alive(), heartbeatFactory.create(nextSelf(), List.of()));
                })
                .<Void>mapEmpty()
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Returns the membership. */
    public Membership membership() {
        return membership;
    }

    /** Returns how many datagrams were dropped because they failed authentication or could not be decoded. */
    public long droppedDatagrams() {
        return droppedDatagrams;
    }

    /** Returns how many bytes of datagrams were sent, without packet headers. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Sets the handler for messages of a type, which receives the IP address of the sender. */
    public <M extends MeshMessage> void onMessage(Class<M> type, BiConsumer<String, M> handler) {
        handlers.put(type, (sender, message) -> handler.accept(sender, type.cast(message)));
    }

    /** Sends a message to one process, without a guarantee of delivery. */
    public void send(String ip, Message message) {
        sendDatagram(ip, authenticate(codec.encode(message)));
    }

    private void send(List<Member> members, Message message) {
        sendFrame(members, codec.encode(message));
    }

    private void sendFrame(List<Member> members, byte[] frame) {
        Buffer datagram = authenticate(frame);
        members.forEach(member -> sendDatagram(member.ip(), datagram));
    }

    /**
     * Sends a message to all processes of a role, without a guarantee of delivery. One of them in each zone, another
     * one each time, forwards it to the others there, so that the sender's traffic does not grow with their number.
     */
    public void broadcast(String role, Message message) {
        send(membership.sampleOnePerZone(role), new ZoneRelay(role, codec.encode(message)));
    }

    /** Sends a heartbeat at once, and to more processes than usual, after a change that others may not know yet. */
    public void announceChange() {
        send(membership.heartbeatPeers(CHANGE_FANOUT), nextHeartbeat());
    }

    private void sendHeartbeat() {
        send(membership.heartbeatPeers(HEARTBEAT_FANOUT), nextHeartbeat());
    }

    private Heartbeat nextHeartbeat() {
        return heartbeatFactory.create(nextSelf(), membership.sample(MAX_SAMPLED_MEMBERS));
    }

    private Member nextSelf() {
        self = new Member(
                self.ip(), self.availabilityZone(), self.role(), self.incarnation(), self.heartbeatSequence() + 1);
        return self;
    }

    /**
     * Raises the incarnation above that of an earlier process on this host, for others ignore this process as long as
     * they know a higher one. Returns whether it was raised.
     */
    private boolean supersedeEarlierIncarnation() {
        long reported = membership.reportedOwnIncarnation();
        if (reported <= self.incarnation()) {
            return false;
        }
        logger.atInfo()
                .addKeyValue("incarnation", self.incarnation())
                .addKeyValue("earlierIncarnation", reported)
                .log("clock was behind the start time of an earlier process on this host; raising the incarnation");
        self = new Member(self.ip(), self.availabilityZone(), self.role(), reported + 1, self.heartbeatSequence());
        return true;
    }

    private Buffer authenticate(byte[] frame) {
        return Buffer.buffer(MAC_BYTES + frame.length)
                .appendBytes(computeMac(frame))
                .appendBytes(frame);
    }

    private void sendDatagram(String ip, Buffer datagram) {
        bytesSent += datagram.length();
        var unused = socket.send(datagram, port, ip)
                .onFailure(error ->
                        logger.atDebug().addKeyValue("peer", ip).setCause(error).log("failed to send datagram"));
    }

    private byte[] computeMac(byte[] frame) {
        return Arrays.copyOf(key.mac(List.of(frame)), MAC_BYTES);
    }

    private void onPacket(DatagramPacket packet) {
        byte[] data = packet.data().getBytes();
        if (data.length <= MAC_BYTES) {
            droppedDatagrams++;
            return;
        }
        byte[] frame = Arrays.copyOfRange(data, MAC_BYTES, data.length);
        if (!SharedKey.matches(computeMac(frame), Arrays.copyOf(data, MAC_BYTES))) {
            droppedDatagrams++;
            return;
        }
        try {
            onMessage(packet.sender().host(), codec.decode(frame));
        } catch (FirwheelException e) {
            droppedDatagrams++;
            logger.atWarn()
                    .addKeyValue("peer", packet.sender().host())
                    .log("failed to decode datagram: {}", e.getMessage());
        }
    }

    private void onMessage(String sender, Message message) {
        if (message instanceof Heartbeat heartbeat) {
            membership.merge(heartbeat.self());
            heartbeat.others().forEach(membership::merge);
            if (supersedeEarlierIncarnation()) {
                announceChange();
            }
        }
        if (message instanceof ZoneRelay relay) {
            sendFrame(membership.known(relay.role(), self.availabilityZone()), relay.frame());
            onMessage(sender, codec.decode(relay.frame()));
        }
        BiConsumer<String, Message> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.accept(sender, message);
        }
    }
}
