package firwheel.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.io.File;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Weighted mix of request types.
 *
 * @param items request types; at least one
 */
public record RequestMix(@JsonProperty("items") List<Item> items) {
    /** Default mix: streamed completions, unstreamed completions, and bookings with idempotency keys. */
    public static final RequestMix DEFAULT = new RequestMix(List.of(
            new Item("completion", "demo-model", 6, true, 400, 32, "organisation-a", false),
            new Item("completion", "demo-model", 2, false, 400, 16, "organisation-b", false),
            new Item("service", "order-desk", 2, false, 100, 0, "organisation-b", true)));

    /**
     * One request type.
     *
     * @param kind {@code completion} or {@code service}
     * @param name model or service name
     * @param weight share relative to the other items
     * @param stream whether to request an event stream
     * @param promptChars length of the prompt or of the service body
     * @param maxTokens maximum number of tokens to generate
     * @param organisation organisation named in the request
     * @param withIdempotencyKey whether service calls carry an idempotency key
     */
    public record Item(
            @JsonProperty("kind") String kind,
            @JsonProperty("name") String name,
            @JsonProperty("weight") int weight,
            @JsonProperty("stream") boolean stream,
            @JsonProperty("prompt_chars") int promptChars,
            @JsonProperty("max_tokens") int maxTokens,
            @JsonProperty("organisation") String organisation,
            @JsonProperty("keyed") boolean withIdempotencyKey) {
        public Item {
            boolean knownKind = "completion".equals(kind) || "service".equals(kind);
            if (!knownKind || name == null || organisation == null || weight < 1) {
                throw new IllegalArgumentException(
                        "an item needs a kind (completion or service), a name, an organisation and a weight above 0");
            }
        }

        /** Returns whether the item calls a model. */
        boolean isCompletion() {
            return kind.equals("completion");
        }
    }

    public RequestMix {
        items = List.copyOf(items);
        if (items.isEmpty()) {
            throw new IllegalArgumentException("a mix needs at least one item");
        }
    }

    /** Reads a mix from a JSON file. Failures carry {@code FW-9002}. */
    public static RequestMix read(File file) {
        try {
            return new ObjectMapper().readValue(file, RequestMix.class);
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.BAD_USAGE, "cannot read mix " + file + ": " + e.getMessage(), Duration.ZERO, e);
        }
    }

    /** Returns a random item, chosen with a probability proportional to its weight. */
    Item draw(SplittableRandom random) {
        int total = items.stream().mapToInt(Item::weight).sum();
        int remainingWeight = random.nextInt(total);
        for (Item item : items) {
            remainingWeight -= item.weight();
            if (remainingWeight < 0) {
                return item;
            }
        }
        throw new IllegalStateException("random number exceeds the sum of the weights");
    }
}
