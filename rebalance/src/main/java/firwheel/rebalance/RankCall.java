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

/** What a controller asks of the agent beside a rank, and the replies. Sent as JSON. */
final class RankCall {
    static final String READ_PATH = "/rank";
    static final String ORDER_PATH = "/order";

    /** Maps fields only; none that a newer sender adds is an error. */
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
     * Asks for the state of the rank.
     *
     * @param term term of the controller; an agent that knows a later one refuses
     * @param counts whether to read how often each expert was chosen
     * @param placed whether to read which experts the rank holds
     */
    record Read(long term, boolean counts, boolean placed) {}

    /**
     * State of the rank.
     *
     * @param term latest term that the agent knows
     * @param engine where the engine listens
     * @param state its report; null where the agent refuses for the term
     * @param counts choices of each expert, set after set; null unless asked for
     * @param placed experts of the rank by set; null unless asked for
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Reading(
            long term,
            EngineAddress engine,
            @Nullable EngineState state,
            long @Nullable [] counts,
            int @Nullable [][] placed) {}

    /** Asks for an order to be given. */
    record Order(long term, RankOrder order) {}

    /**
     * What became of an order.
     *
     * @param term latest term that the agent knows
     * @param taken whether the engine took the order
     */
    record OrderReply(long term, boolean taken) {}
}
