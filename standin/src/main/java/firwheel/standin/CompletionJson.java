package firwheel.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Formats responses of the OpenAI chat completion and completion APIs. */
final class CompletionJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final boolean chat;
    private final String model;
    private final String id;

    CompletionJson(boolean chat, String model, String id) {
        this.chat = chat;
        this.model = model;
        this.id = id;
    }

    /** Returns one server-sent event that carries {@code token}. */
    String event(String token) {
        ObjectNode root = newRoot(chat ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        return "data: " + root + "\n\n";
    }

    /** Returns the body of a non-streaming response. */
    String fullResponse(List<String> tokens) {
        ObjectNode root = newRoot(chat ? "chat.completion" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        String text = String.join("", tokens);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", "stop");
        root.putObject("usage").put("completion_tokens", tokens.size());
        return root.toString();
    }

    private ObjectNode newRoot(String object) {
        return MAPPER.createObjectNode().put("id", id).put("object", object).put("model", model);
    }
}
