package firwheel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** JSON schema of the settings of one role. Messages contain paths and allowed values, never a value from the file. */
final class SettingsSchema {
    private final JsonNode definition;
    private final JsonSchema validator;

    private SettingsSchema(JsonNode definition) {
        this.definition = definition;
        validator =
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(definition);
    }

    static SettingsSchema of(SettingsRole role) {
        try (InputStream in = SettingsSchema.class.getResourceAsStream(role.schemaResource())) {
            return new SettingsSchema(new ObjectMapper().readTree(Objects.requireNonNull(in, role.schemaResource())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns one line for each path that violates the schema; empty if the settings are valid. */
    List<String> violations(JsonNode settings) {
        return validator.validate(settings).stream()
                .map(this::describe)
                .distinct()
                .sorted()
                .toList();
    }

    /** Sets each absent optional value to its default. */
    void fillDefaults(ObjectNode settings) {
        for (Map.Entry<String, JsonNode> property :
                definition.path("properties").properties()) {
            JsonNode defaultValue = property.getValue().get("default");
            if (defaultValue != null && !settings.has(property.getKey())) {
                settings.set(property.getKey(), defaultValue);
            }
        }
    }

    private String describe(ValidationMessage message) {
        JsonNodePath path = message.getInstanceLocation();
        JsonNode schema = schemaAt(path);
        return switch (message.getType()) {
            case "required" ->
                path + "." + message.getProperty() + ": missing; must be "
                        + describeAllowed(schema.path("properties").path(message.getProperty()));
            case "additionalProperties" ->
                path + "." + message.getProperty() + ": unknown key; allowed keys are "
                        + String.join(", ", names(schema.path("properties")));
            default -> path + ": must be " + describeAllowed(schema);
        };
    }

    private JsonNode schemaAt(JsonNodePath path) {
        JsonNode schema = definition;
        for (int i = 0; i < path.getNameCount(); i++) {
            Object element = path.getElement(i);
            schema = element instanceof Integer
                    ? schema.path("items")
                    : schema.path("properties").path(element.toString());
        }
        return schema;
    }

    private static String describeAllowed(JsonNode schema) {
        if (schema.has("enum")) {
            List<String> values = new ArrayList<>();
            schema.path("enum").forEach(value -> values.add(value.asText()));
            return String.join(" or ", values);
        }
        if (schema.path("type").asText().equals("integer")) {
            return "an integer from " + schema.path("minimum").asLong() + " to "
                    + schema.path("maximum").asLong();
        }
        return schema.path("description").asText();
    }

    private static List<String> names(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
