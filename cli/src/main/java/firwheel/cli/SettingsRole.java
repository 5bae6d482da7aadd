package firwheel.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Process roles that are configured by a settings file, each with its own JSON schema. */
enum SettingsRole {
    ENTRY,
    AGENT;

    /** Returns the value of the {@code role} setting. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the name of the class-path resource with the JSON schema of the role's settings. */
    String schemaResource() {
        return label() + "-settings.schema.json";
    }

    static Optional<SettingsRole> ofLabel(String label) {
        return Arrays.stream(values())
                .filter(role -> role.label().equals(label))
                .findFirst();
    }
}
