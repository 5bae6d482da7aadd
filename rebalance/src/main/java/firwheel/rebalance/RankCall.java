package firwheel.rebalance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import firwheel.experts.rollout.RankOrder;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.jspecify.annotations.Nullable;

/** Requests of a controller to the agent of a rank, and the replies, encoded as JSON. */
final class RankCall {
    static final String READ_PATH = "/rank";
    static final String ORDER_PATH = "/order";

    /** Ignores unknown fields, so that newer senders may add some, and does not map {@code is} methods as fields. */
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private RankCall() {}

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
     * @param counts whether to read the expert selection counts
     * @param placed whether to read the experts of the rank
     */
    record Read(long term, boolean counts, boolean placed) {}

    /**
     * Reading of the rank.
     *
     * @param term latest term that the agent knows
     * @param engine address of the engine
     * @param state state of the engine; null if the term of the request was refused
     * @param counts selection counts by layer and expert; null unless requested
     * @param placed experts of the rank by layer; null unless requested
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Reading(
            long term,
            EngineAddress engine,
            @Nullable EngineState state,
            long @Nullable [] counts,
            int @Nullable [][] placed) {}

    /** Requests that an order be submitted to the engine. */
    record Order(long term, RankOrder order) {}

    /**
     * Result of an order.
     *
     * @param term latest term that the agent knows
     * @param taken whether the engine accepted the order
     */
    record OrderReply(long term, boolean taken) {}
}
