package firwheel.wire;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Message types and their numbers on the wire. For compatibility between versions, numbers are never reused, and fields
 * are only added at the end of a record.
 */
enum MessageType {
    HELLO(1, LinkMessage.Hello.class),
    PROOF(2, LinkMessage.Proof.class),
    DISPATCH(10, AttemptMessage.Dispatch.class),
    REFUSED(11, AttemptMessage.Refused.class),
    HEAD(12, AttemptMessage.Head.class),
    CHUNK(13, AttemptMessage.Chunk.class),
    END(14, AttemptMessage.End.class),
    FAILED(15, AttemptMessage.Failed.class),
    CREDIT(16, AttemptMessage.Credit.class),
    CANCEL(17, AttemptMessage.Cancel.class),
    FENCE(18, AttemptMessage.Fence.class),
    FENCE_REPLY(19, AttemptMessage.FenceReply.class),
    RESUME(20, AttemptMessage.Resume.class),
    RECEIVED(21, AttemptMessage.Received.class),
    PROBE(30, LoadMessage.Probe.class),
    LOAD_REPORT(31, LoadMessage.Report.class),
    CLOCK_READING(32, LoadMessage.ClockReading.class),
    TABLE(40, TableFrame.class),
    HEARTBEAT(50, MeshMessage.Heartbeat.class),
    GROUP_LOAD(51, MeshMessage.GroupLoad.class),
    ZONE_RELAY(52, MeshMessage.ZoneRelay.class),
    TARGET_STATEMENT(53, MeshMessage.TargetStatement.class),
    CRASH_REPORTS(54, MeshMessage.CrashReports.class),
    STORE_NEWS(55, MeshMessage.StoreNews.class),
    PART_REPORTS(56, MeshMessage.PartReports.class);

    private static final Map<Integer, MessageType> BY_NUMBER =
            Arrays.stream(values()).collect(Collectors.toMap(type -> type.number, Function.identity()));
    private static final Map<Class<?>, MessageType> BY_CLASS =
            Arrays.stream(values()).collect(Collectors.toMap(type -> type.messageClass, Function.identity()));

    private final int number;
    private final Class<? extends Message> messageClass;

    MessageType(int number, Class<? extends Message> messageClass) {
        this.number = number;
        this.messageClass = messageClass;
    }

    int number() {
        return number;
    }

    Class<? extends Message> messageClass() {
        return messageClass;
    }

    static @org.jspecify.annotations.Nullable MessageType ofNumber(int number) {
        return BY_NUMBER.get(number);
    }

    static MessageType of(Message message) {
        MessageType type = BY_CLASS.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException("no message type for " + message.getClass());
        }
        return type;
    }
}
