package firwheel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Timeline of one request, merged from the log lines of several processes. */
final class RequestTimeline {
    /** Prefix of the event codes of process starts, stops and drains, which often explain a failed request. */
    private static final String LIFECYCLE_PREFIX = "EV-1";

    private static final Duration LIFECYCLE_MARGIN = Duration.ofSeconds(10); // a drain may take this long
    private static final Set<String> LEADING_FIELDS = Set.of("time", "@timestamp", "event", "message", "request");
    private static final Set<String> OMITTED_FIELDS =
            Set.of("level", "level_value", "logger_name", "thread_name", "@version"); // same in all lines of an event

    private final String requestId;
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<Line> requestLines = new ArrayList<>();
    private final List<Line> lifecycleLines = new ArrayList<>();
    private long lineCount;
    private long unreadableCount;

    private record Line(Instant time, String source, JsonNode fields) {}

    RequestTimeline(String requestId) {
        this.requestId = requestId;
    }

    /** Adds a log line. Its source is the word before the JSON object, such as a host name, or else the file name. */
    void add(String fileName, String logLine) {
        lineCount++;
        int jsonStart = logLine.indexOf('{');
        if (jsonStart < 0) {
            return;
        }
        JsonNode fields = parse(logLine.substring(jsonStart));
        Instant time = fields == null ? null : parseTime(fields);
        if (fields == null || time == null) {
            unreadableCount++;
            return;
        }
        String[] prefixWords = logLine.substring(0, jsonStart).trim().split("\\s+", -1);
        String source = prefixWords[prefixWords.length - 1].isEmpty() ? fileName : prefixWords[prefixWords.length - 1];
        Line line = new Line(time, source, fields);
        if (fields.path("request").asText().equals(requestId)) {
            requestLines.add(line);
        } else if (fields.path("event").asText().startsWith(LIFECYCLE_PREFIX)) {
            lifecycleLines.add(line);
        }
    }

    /** Returns the number of lines added, including those without JSON. */
    long lineCount() {
        return lineCount;
    }

    /** Returns the number of lines whose JSON cannot be parsed or has no valid time. */
    long unreadableCount() {
        return unreadableCount;
    }

    /** Returns the lines of the timeline in time order; empty if no log line belongs to the request. */
    List<String> render() {
        if (requestLines.isEmpty()) {
            return List.of();
        }
        Instant first = requestLines.stream()
                .map(Line::time)
                .min(Comparator.naturalOrder())
                .orElseThrow();
        Instant last = requestLines.stream()
                .map(Line::time)
                .max(Comparator.naturalOrder())
                .orElseThrow();
        Set<String> sources = new HashSet<>();
        requestLines.forEach(line -> sources.add(line.source()));
        List<Line> selected = new ArrayList<>(requestLines);
        lifecycleLines.stream()
                .filter(line -> sources.contains(line.source()))
                .filter(line -> line.time().isAfter(first.minus(LIFECYCLE_MARGIN))
                        && line.time().isBefore(last.plus(LIFECYCLE_MARGIN)))
                .forEach(selected::add);
        selected.sort(Comparator.comparing(Line::time));
        return selected.stream().map(RequestTimeline::format).toList();
    }

    private static String format(Line line) {
        StringBuilder text = new StringBuilder();
        text.append(line.time()).append(' ').append(line.source());
        text.append(' ').append(line.fields().path("event").asText("-"));
        text.append(' ').append(line.fields().path("message").asText());
        line.fields().fields().forEachRemaining(field -> {
            if (!LEADING_FIELDS.contains(field.getKey()) && !OMITTED_FIELDS.contains(field.getKey())) {
                text.append(' ').append(field.getKey()).append('=');
                text.append(field.getValue().isValueNode() ? field.getValue().asText() : field.getValue());
            }
        });
        return text.toString();
    }

    private @Nullable JsonNode parse(String json) {
        try {
            JsonNode node = mapper.readTree(json);
            return node.isObject() ? node : null;
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    private static @Nullable Instant parseTime(JsonNode fields) {
        try {
            return Instant.parse(
                    fields.path("time").asText(fields.path("@timestamp").asText()));
        } catch (DateTimeException e) {
            return null;
        }
    }
}
