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

/** What the log lines of several processes say of one request, in the order of time. */
final class RequestStory {
    /** Starts, stops and drains of processes; those near a request often explain it. */
    private static final String LIFECYCLE_PREFIX = "EV-1";

    private static final Duration NEAR = Duration.ofSeconds(10); // a drain may take as long
    private static final Set<String> SHOWN_FIRST = Set.of("time", "@timestamp", "event", "message", "request");
    private static final Set<String> LEFT_OUT =
            Set.of("level", "level_value", "logger_name", "thread_name", "@version"); // same in all lines of an event

    private final String request;
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<Line> own = new ArrayList<>();
    private final List<Line> lifecycle = new ArrayList<>();
    private long lines;
    private long unreadable;

    private record Line(Instant time, String source, JsonNode fields) {}

    RequestStory(String request) {
        this.request = request;
    }

    /** Takes a line of a log; what stands before the JSON, such as a host's name, tells its source. */
    void add(String file, String text) {
        lines++;
        int start = text.indexOf('{');
        if (start < 0) {
            return;
        }
        JsonNode fields = parse(text.substring(start));
        Instant time = fields == null ? null : time(fields);
        if (fields == null || time == null) {
            unreadable++;
            return;
        }
        String[] words = text.substring(0, start).trim().split("\\s+", -1);
        String source = words[words.length - 1].isEmpty() ? file : words[words.length - 1];
        Line line = new Line(time, source, fields);
        if (fields.path("request").asText().equals(request)) {
            own.add(line);
        } else if (fields.path("event").asText().startsWith(LIFECYCLE_PREFIX)) {
            lifecycle.add(line);
        }
    }

    /** Returns the number of lines that were taken. */
    long lines() {
        return lines;
    }

    /** Returns the number of lines that have JSON which cannot be read or tells no time. */
    long unreadable() {
        return unreadable;
    }

    /** Returns the story, or nothing where no line concerns the request. */
    List<String> tell() {
        if (own.isEmpty()) {
            return List.of();
        }
        Instant first =
                own.stream().map(Line::time).min(Comparator.naturalOrder()).orElseThrow();
        Instant last =
                own.stream().map(Line::time).max(Comparator.naturalOrder()).orElseThrow();
        Set<String> sources = new HashSet<>();
        own.forEach(line -> sources.add(line.source()));
        List<Line> told = new ArrayList<>(own);
        lifecycle.stream()
                .filter(line -> sources.contains(line.source()))
                .filter(line ->
                        line.time().isAfter(first.minus(NEAR)) && line.time().isBefore(last.plus(NEAR)))
                .forEach(told::add);
        told.sort(Comparator.comparing(Line::time));
        return told.stream().map(RequestStory::format).toList();
    }

    private static String format(Line line) {
        StringBuilder text = new StringBuilder();
        text.append(line.time()).append(' ').append(line.source());
        text.append(' ').append(line.fields().path("event").asText("-"));
        text.append(' ').append(line.fields().path("message").asText());
        line.fields().fields().forEachRemaining(field -> {
            if (!SHOWN_FIRST.contains(field.getKey()) && !LEFT_OUT.contains(field.getKey())) {
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

    private static @Nullable Instant time(JsonNode fields) {
        try {
            return Instant.parse(
                    fields.path("time").asText(fields.path("@timestamp").asText()));
        } catch (DateTimeException e) {
            return null;
        }
    }
}
