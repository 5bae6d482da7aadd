package firwheel.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.standin.ExpectedResponse;
import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Compares the response to one completion request with the expected one, token by token. Performs no I/O. */
final class CompletionCheck {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA_PREFIX = "data: ";

    private final List<String> expectedTokens;
    private final String expectedId;
    private int nextToken;
    private @Nullable Verdict violation;
    private @Nullable Verdict terminalVerdict;

    CompletionCheck(String model, String prompt, int maxTokens) {
        expectedTokens = ExpectedResponse.tokens(model, prompt, maxTokens);
        expectedId = ExpectedResponse.id(model, prompt);
    }

    /** Processes one event of a stream, without its terminating blank line. Returns whether it is a token event. */
    boolean onEvent(String event) {
        if (event.startsWith("event: error")) {
            terminalVerdict = Verdict.FAILED;
            return false;
        }
        if (!event.startsWith(DATA_PREFIX)) {
            violation = Verdict.FOREIGN;
            return false;
        }
        String data = event.substring(DATA_PREFIX.length());
        if (data.equals("[DONE]")) {
            terminalVerdict = nextToken == expectedTokens.size() ? Verdict.COMPLETE : Verdict.CUT;
            return false;
        }
        onToken(data);
        return true;
    }

    private void onToken(String data) {
        try {
            JsonNode json = MAPPER.readTree(data);
            String token = json.at("/choices/0/text").asText();
            if (terminalVerdict != null) {
                violation = Verdict.DOUBLED;
            } else if (!json.path("id").asText().equals(expectedId)) {
                violation = Verdict.FOREIGN;
            } else if (nextToken < expectedTokens.size() && token.equals(expectedTokens.get(nextToken))) {
                nextToken++;
            } else {
                violation = nextToken > 0 && token.equals(expectedTokens.get(nextToken - 1))
                        ? Verdict.DOUBLED
                        : Verdict.CUT;
            }
        } catch (IOException e) {
            violation = Verdict.CUT;
        }
    }

    /** Returns the verdict on a stream that has ended without a connection error. */
    Verdict onStreamEnd() {
        if (violation != null) {
            return violation;
        }
        return terminalVerdict == null ? Verdict.CUT : terminalVerdict;
    }

    /** Returns the verdict on a stream whose connection broke. */
    Verdict onConnectionLost() {
        if (violation != null) {
            return violation;
        }
        return terminalVerdict == Verdict.FAILED ? Verdict.FAILED : Verdict.ABORTED;
    }

    /** Returns the verdict on a response that was not streamed. */
    Verdict onBody(String body) {
        try {
            JsonNode json = MAPPER.readTree(body);
            if (!json.path("id").asText().equals(expectedId)) {
                return Verdict.FOREIGN;
            }
            String text = json.at("/choices/0/text").asText();
            return text.equals(String.join("", expectedTokens)) ? Verdict.COMPLETE : Verdict.CUT;
        } catch (IOException e) {
            return Verdict.CUT;
        }
    }
}
