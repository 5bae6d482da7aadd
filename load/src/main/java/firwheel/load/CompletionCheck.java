package firwheel.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.standin.ExpectedResponse;
import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Compares the answer to one completion with the expected one, piece by piece. No I/O. */
final class CompletionCheck {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA_PREFIX = "data: ";

    private final List<String> expected;
    private final String expectedId;
    private int nextToken;
    private @Nullable Verdict fault;
    private @Nullable Verdict end;

    CompletionCheck(String model, String prompt, int maxTokens) {
        expected = ExpectedResponse.tokens(model, prompt, maxTokens);
        expectedId = ExpectedResponse.id(model, prompt);
    }

    /** Takes one event of a stream, without its closing blank line; returns whether it carried a token. */
    boolean onEvent(String event) {
        if (event.startsWith("event: error")) {
            end = Verdict.FAILED;
            return false;
        }
        if (!event.startsWith(DATA_PREFIX)) {
            fault = Verdict.FOREIGN;
            return false;
        }
        String data = event.substring(DATA_PREFIX.length());
        if (data.equals("[DONE]")) {
            end = nextToken == expected.size() ? Verdict.COMPLETE : Verdict.CUT;
            return false;
        }
        onToken(data);
        return true;
    }

    private void onToken(String data) {
        try {
            JsonNode json = MAPPER.readTree(data);
            String token = json.at("/choices/0/text").asText();
            if (end != null) {
                fault = Verdict.DOUBLED;
            } else if (!json.path("id").asText().equals(expectedId)) {
                fault = Verdict.FOREIGN;
            } else if (nextToken < expected.size() && token.equals(expected.get(nextToken))) {
                nextToken++;
            } else {
                fault = nextToken > 0 && token.equals(expected.get(nextToken - 1)) ? Verdict.DOUBLED : Verdict.CUT;
            }
        } catch (IOException e) {
            fault = Verdict.CUT;
        }
    }

    /** Returns the verdict when the stream has ended cleanly. */
    Verdict onCleanEnd() {
        if (fault != null) {
            return fault;
        }
        return end == null ? Verdict.CUT : end;
    }

    /** Returns the verdict when the connection broke. */
    Verdict onBreak() {
        if (fault != null) {
            return fault;
        }
        return end == Verdict.FAILED ? Verdict.FAILED : Verdict.ABORTED;
    }

    /** Returns the verdict on a whole answer. */
    Verdict onWhole(String body) {
        try {
            JsonNode json = MAPPER.readTree(body);
            if (!json.path("id").asText().equals(expectedId)) {
                return Verdict.FOREIGN;
            }
            String text = json.at("/choices/0/text").asText();
            return text.equals(String.join("", expected)) ? Verdict.COMPLETE : Verdict.CUT;
        } catch (IOException e) {
            return Verdict.CUT;
        }
    }
}
