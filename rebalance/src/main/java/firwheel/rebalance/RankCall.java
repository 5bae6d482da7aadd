package firwheel.rebalance;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.experts.rollout.HoldSteps;
import firwheel.experts.rollout.RankOrder;
import firwheel.experts.rollout.RankView;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Requests of a controller to the agent of a rank, and the replies, encoded as MessagePack. Records are arrays of their
 * fields; trailing fields added by a newer version are ignored.
 */
final class RankCall {
    static final String READ_PATH = "/rank";
    static final String ORDER_PATH = "/order";

    private static final int[][][] NO_PLACEMENT = {};
    private static final ObjectMapper MAPPER = newMapper();

    private RankCall() {}

    private static ObjectMapper newMapper() {
        ObjectMapper mapper = MessagePackMapper.builder()
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS) // such methods of records are not fields
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
        JsonFormat.Value arrayFormat = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        List.of(
                        Read.class,
                        Reading.class,
                        Order.class,
                        OrderReply.class,
                        SelectionDigest.class,
                        EngineAddress.class,
                        EngineState.class,
                        RankView.class,
                        HoldSteps.Known.class,
                        RankOrder.class)
                .forEach(type -> mapper.configOverride(type).setFormat(arrayFormat));
        return mapper;
    }

    static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    static <T> T decode(byte[] content, Class<T> type) {
        try {
            return MAPPER.readValue(content, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Requests a reading of the rank.
     *
     * @param term term of the controller; refused by an agent that knows a later term
     * @param selections whether to read the expert selections since the last such reading
     * @param placed whether to read the experts of the rank
     * @param holdSteps steps of holds that the controller knows; null from older versions
     */
    record Read(long term, boolean selections, boolean placed, HoldSteps.@Nullable Known holdSteps) {}

    /**
     * Reading of the rank.
     *
     * @param term latest term that the agent knows
     * @param engine address of the engine
     * @param state state of the engine; null if the term of the request was refused
     * @param selections expert selections since the last reading that requested them; null unless requested, and on
     *     the first such reading
     * @param placed experts of the rank by layer; null unless requested
     * @param holdSteps steps of holds that the agent knows; null from older versions, and if the engine was read
     *     directly
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Reading(
            long term,
            EngineAddress engine,
            @Nullable EngineState state,
            @Nullable SelectionDigest selections,
            int @Nullable [][] placed,
            HoldSteps.@Nullable Known holdSteps) {}

    /**
     * Requests that an order be submitted to the engine.
     *
     * @param term term of the controller
     * @param order the order without its placement
     * @param packedPlacement placement of the order, as in {@link PackedPlacement}
     * @param placementFrom IP address of the agent to fetch the placement from, or null if the order contains it; an
     *     agent that does not know this field has no placement to prepare, so its engine refuses the order
     */
    @SuppressWarnings("ArrayRecordComponent") // not modified after encoding
    record Order(long term, RankOrder order, byte[] packedPlacement, @Nullable String placementFrom) {
        static Order of(long term, RankOrder order) {
            return new Order(term, withPlacement(order, NO_PLACEMENT), PackedPlacement.pack(order.placement()), null);
        }

        /** Returns the order without its placement, which another agent has or will have. */
        static Order withPlacementFrom(long term, RankOrder order, String agentIp) {
            return new Order(term, withPlacement(order, NO_PLACEMENT), new byte[0], agentIp);
        }

        /** Returns the order with a placement. */
        RankOrder unpack(byte[] packed) {
            return withPlacement(order, PackedPlacement.unpack(packed));
        }

        private static RankOrder withPlacement(RankOrder order, int[][][] placement) {
            return new RankOrder(order.rank(), order.action(), order.version(), order.step(), order.epoch(), placement);
        }
    }

    /**
     * Result of an order.
     *
     * @param term latest term that the agent knows
     * @param taken whether the engine accepted the order
     */
    record OrderReply(long term, boolean taken) {}
}
