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

/** Parses and validates the requests of callers. Invalid requests fail with an {@code FW-1xxx} code. */
final class CallerRequestReader {
    static final String REQUEST_ID_HEADER = "X-Request-Id";
    static final String SERVICES_PREFIX = "/services/";

    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String ORGANISATION_HEADER = "Firwheel-Organisation";
    private static final String DEADLINE_HEADER = "Firwheel-Deadline-Millis";
    private static final String PRIORITY_HEADER = "Firwheel-Priority";
    private static final String DEFAULT_ORGANISATION = "default";
    private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(10);
    private static final long MAX_DEADLINE_MILLIS = Duration.ofHours(1).toMillis();
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 1_000_000;
    private static final int ESTIMATED_BYTES_PER_TOKEN = 4;
    private static final int MAX_HEADER_VALUE_CHARS = 256;
    private static final Pattern HEADER_VALUE = Pattern.compile("[\\x21-\\x7e]{1," + MAX_HEADER_VALUE_CHARS + "}");
    private static final Set<HttpMethod> SAFE_METHODS = Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS);

    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Returns the request id given by the caller, or a generated one if it is missing or invalid. */
    static String requestId(HttpServerRequest request) {
        String value = request.getHeader(REQUEST_ID_HEADER);
        return value != null && HEADER_VALUE.matcher(value).matches()
                ? value
                : UUID.randomUUID().toString();
    }

    /** Parses a chat or text completion request. */
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
                idempotencyKey(request),
                TargetKind.MODEL,
                model.asText(),
                true,
                "POST",
                request.path(),
                "application/json",
                body.getBytes(),
                stream.asBoolean(false),
                body.length() / ESTIMATED_BYTES_PER_TOKEN + maxTokens);
    }

    /** Parses a request to a plain service. */
    CallerRequest readServiceCall(HttpServerRequest request, String requestId, Buffer body) {
        String query = request.query() == null ? "" : "?" + request.query();
        String servicePath = request.path().substring(SERVICES_PREFIX.length()) + query;
        int slash = servicePath.indexOf('/');
        String service = slash < 0 ? servicePath : servicePath.substring(0, slash);
        String contentType = request.getHeader("Content-Type");
        return new CallerRequest(
                requestId,
                organisation(request),
                priority(request),
                deadline(request),
                idempotencyKey(request),
                TargetKind.SERVICE,
                service,
                SAFE_METHODS.contains(request.method()),
                request.method().name(),
                slash < 0 ? "/" : servicePath.substring(slash),
                contentType == null ? "" : contentType,
                body.getBytes(),
                false,
                1 + body.length() / ESTIMATED_BYTES_PER_TOKEN);
    }

    private static int maxTokens(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        boolean inRange = value.isIntegralNumber()
                && value.canConvertToInt()
                && value.asInt() >= 1
                && value.asInt() <= MAX_TOKENS_LIMIT;
        if (!inRange) {
            throw new FirwheelException(
                    ResultCode.MISSING_FIELD, "max_tokens must be an integer from 1 to " + MAX_TOKENS_LIMIT);
        }
        return value.asInt();
    }

    private JsonNode parseObject(Buffer body) {
        try {
            JsonNode json = mapper.readTree(body.getBytes());
            if (json == null || !json.isObject()) {
                throw new FirwheelException(ResultCode.MALFORMED_JSON, "the request body must be a JSON object");
            }
            return json;
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.MALFORMED_JSON, "the request body is not valid JSON", Duration.ZERO, e);
        }
    }

    private static String organisation(HttpServerRequest request) {
        return validatedHeader(request, ORGANISATION_HEADER, DEFAULT_ORGANISATION);
    }

    private static String idempotencyKey(HttpServerRequest request) {
        return validatedHeader(request, IDEMPOTENCY_KEY_HEADER, "");
    }

    private static String validatedHeader(HttpServerRequest request, String header, String defaultValue) {
        String value = request.getHeader(header);
        if (value == null) {
            return defaultValue;
        }
        if (!HEADER_VALUE.matcher(value).matches()) {
            throw new FirwheelException(
                    ResultCode.BAD_HEADER,
                    header + " must be 1 to " + MAX_HEADER_VALUE_CHARS + " printable characters without spaces");
        }
        return value;
    }

    private static Priority priority(HttpServerRequest request) {
        String value = request.getHeader(PRIORITY_HEADER);
        if (value == null) {
            return Priority.NORMAL;
        }
        try {
            return Priority.valueOf(value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new FirwheelException(
                    ResultCode.BAD_HEADER, PRIORITY_HEADER + " must be high, normal or low", Duration.ZERO, e);
        }
    }

    private static Duration deadline(HttpServerRequest request) {
        String value = request.getHeader(DEADLINE_HEADER);
        if (value == null) {
            return DEFAULT_DEADLINE;
        }
        try {
            long millis = Long.parseLong(value);
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException ignored) {
            // reported below, like a value out of range
        }
        throw new FirwheelException(ResultCode.BAD_HEADER, DEADLINE_HEADER + " must be 1 to " + MAX_DEADLINE_MILLIS);
    }
}
