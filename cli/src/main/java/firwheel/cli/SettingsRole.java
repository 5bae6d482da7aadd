package firwheel.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Roles that have settings, each with its JSON schema. */
enum SettingsRole {
    ENTRY,
    AGENT;

    /** Returns the role as settings name it. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the resource with the JSON schema of the role's settings. */
    String schemaResource() {
        return label() + "-settings.schema.json";
    }

    static Optional<SettingsRole> ofLabel(String label) {
        return Arrays.stream(values())
                .filter(role -> role.label().equals(label))
                .findFirst();
    }
}
