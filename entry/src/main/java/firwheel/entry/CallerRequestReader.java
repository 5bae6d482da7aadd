package firwheel.entry;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import firwheel.model.FirwheelException;
import firwheel.model.Priority;
import firwheel.model.ResultCode;
import firwheel.model.TargetKind;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Pattern;

/** Checks a caller's request and turns it into a {@link CallerRequest}. Failures carry a 1xxx code. */
final class CallerRequestReader {
    static final String REQUEST_ID = "X-Request-Id";
    static final String SERVICES_PREFIX = "/services/";

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String ORGANISATION = "Firwheel-Organisation";
    private static final String DEADLINE_MILLIS = "Firwheel-Deadline-Millis";
    private static final String PRIORITY = "Firwheel-Priority";
    private static final String DEFAULT_ORGANISATION = "default";
    private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(10);
    private static final long MAX_DEADLINE_MILLIS = Duration.ofHours(1).toMillis();
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_MAX_TOKENS = 1_000_000;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int MAX_HEADER_VALUE_CHARS = 256;
    private static final Pattern SAFE_VALUE = Pattern.compile("[\\x21-\\x7e]{1," + MAX_HEADER_VALUE_CHARS + "}");
    private static final Set<HttpMethod> SAFE_METHODS = Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS);

    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Returns the caller's request id, or a new one where it gave none or an unusable one. */
    static String requestId(HttpServerRequest request) {
        String given = request.getHeader(REQUEST_ID);
        return given != null && SAFE_VALUE.matcher(given).matches()
                ? given
                : UUID.randomUUID().toString();
    }

    /** Reads a completion request. */
    CallerRequest readCompletion(HttpServerRequest request, String requestId, Buffer body) {
        JsonNode json = parseObject(body);
        JsonNode model = json.path("model");
        if (!model.isTextual()) {
            throw new FirwheelException(ResultCode.MISSING_FIELD, "model must be a string");
        }
        String promptField = request.path().equals("/v1/completions") ? "prompt" : "messages";
        if (!json.has(promptField)) {
            throw new FirwheelException(ResultCode.MISSING_FIELD, promptField + " is missing");
        }
        int maxTokens = maxTokens(json.path("max_tokens"));
        JsonNode stream = json.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw new FirwheelException(ResultCode.MISSING_FIELD, "stream must be true or false");
        }
        return new CallerRequest(
                requestId,
                organisation(request),
                priority(request),
                deadline(request),
                key(request),
                TargetKind.MODEL,
                model.asText(),
                true,
                "POST",
                request.path(),
                "application/json",
                body.getBytes(),
                stream.asBoolean(false),
                body.length() / BYTES_PER_TOKEN + maxTokens);
    }

    /** Reads a call to a plain service. */
    CallerRequest readServiceCall(HttpServerRequest request, String requestId, Buffer body) {
        String query = request.query() == null ? "" : "?" + request.query();
        String rest = request.path().substring(SERVICES_PREFIX.length()) + query;
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String contentType = request.getHeader("Content-Type");
        return new CallerRequest(
                requestId,
                organisation(request),
                priority(request),
                deadline(request),
                key(request),
                TargetKind.SERVICE,
                service,
                SAFE_METHODS.contains(request.method()),
                request.method().name(),
                slash < 0 ? "/" : rest.substring(slash),
                contentType == null ? "" : contentType,
                body.getBytes(),
                false,
                1 + body.length() / BYTES_PER_TOKEN);
    }

    private static int maxTokens(JsonNode given) {
        if (given.isMissingNode() || given.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        boolean inRange = given.isIntegralNumber()
                && given.canConvertToInt()
                && given.asInt() >= 1
                && given.asInt() <= MAX_MAX_TOKENS;
        if (!inRange) {
            throw new FirwheelException(
                    ResultCode.MISSING_FIELD, "max_tokens must be an integer from 1 to " + MAX_MAX_TOKENS);
        }
        return given.asInt();
    }

    private JsonNode parseObject(Buffer body) {
        try {
            JsonNode json = mapper.readTree(body.getBytes());
            if (json == null || !json.isObject()) {
                throw new FirwheelException(ResultCode.MALFORMED_JSON, "the body must be a JSON object");
            }
            return json;
        } catch (IOException e) {
            throw new FirwheelException(ResultCode.MALFORMED_JSON, "the body is not JSON", Duration.ZERO, e);
        }
    }

    private static String organisation(HttpServerRequest request) {
        return checked(request, ORGANISATION, DEFAULT_ORGANISATION);
    }

    private static String key(HttpServerRequest request) {
        return checked(request, IDEMPOTENCY_KEY, "");
    }

    private static String checked(HttpServerRequest request, String header, String absent) {
        String value = request.getHeader(header);
        if (value == null) {
            return absent;
        }
        if (!SAFE_VALUE.matcher(value).matches()) {
            throw new FirwheelException(
                    ResultCode.BAD_HEADER,
                    header + " must be 1 to " + MAX_HEADER_VALUE_CHARS + " printable characters without spaces");
        }
        return value;
    }

    private static Priority priority(HttpServerRequest request) {
        String value = request.getHeader(PRIORITY);
        if (value == null) {
            return Priority.NORMAL;
        }
        try {
            return Priority.valueOf(value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new FirwheelException(
                    ResultCode.BAD_HEADER, PRIORITY + " must be high, normal or low", Duration.ZERO, e);
        }
    }

    private static Duration deadline(HttpServerRequest request) {
        String value = request.getHeader(DEADLINE_MILLIS);
        if (value == null) {
            return DEFAULT_DEADLINE;
        }
        try {
            long millis = Long.parseLong(value);
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException ignored) {
            // falls through to the refusal below
        }
        throw new FirwheelException(ResultCode.BAD_HEADER, DEADLINE_MILLIS + " must be 1 to " + MAX_DEADLINE_MILLIS);
    }
}
