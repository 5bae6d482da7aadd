package firwheel.bench.decisions;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A table of a TOML file that reports a missing, unknown or invalid key with its file and line. */
final class TomlSection {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String file;
    private final String path;
    private final int line;
    private final TomlTable table;
    private final Set<String> unread;

    TomlSection(String file, String path, int line, TomlTable table) {
        this.file = file;
        this.path = path;
        this.line = line;
        this.table = table;
        unread = new TreeSet<>(table.keySet());
    }

    /** Fails if the table has a key that was not read. */
    void requireAllRead() {
        for (String key : unread) {
            throw invalid(key, "unknown key");
        }
    }

    boolean has(String key) {
        return table.contains(List.of(key));
    }

    String text(String key) {
        if (read(key) instanceof String text) {
            return text;
        }
        throw invalid(key, "must be a string");
    }

    double number(String key) {
        if (read(key) instanceof Number number) {
            return number.doubleValue();
        }
        throw invalid(key, "must be a number");
    }

    int integer(String key) {
        if (read(key) instanceof Long number) {
            return Math.toIntExact(number);
        }
        throw invalid(key, "must be an integer");
    }

    /** Returns a duration that is given in seconds. */
    Duration seconds(String key) {
        return Duration.ofMillis((long) (number(key) * MILLIS_PER_SECOND));
    }

    List<Integer> integers(String key) {
        List<Integer> numbers = new ArrayList<>();
        for (Object element : array(key).toList()) {
            if (!(element instanceof Long number)) {
                throw invalid(key, "must be a list of integers");
            }
            numbers.add(Math.toIntExact(number));
        }
        return numbers;
    }

    <E extends Enum<E>> E constant(String key, Class<E> type) {
        String name = text(key);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(name)) {
                return constant;
            }
        }
        throw invalid(key, "must be one of " + List.of(type.getEnumConstants()));
    }

    TomlSection section(String key) {
        if (read(key) instanceof TomlTable child) {
            return new TomlSection(file, path + key + ".", lineOf(key), child);
        }
        throw invalid(key, "must be a table");
    }

    /** Returns the tables of an array, which may be missing. */
    List<TomlSection> sections(String key) {
        if (!has(key)) {
            return List.of();
        }
        TomlArray array = array(key);
        List<TomlSection> sections = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable child)) {
                throw invalid(key, "must be an array of tables");
            }
            sections.add(new TomlSection(
                    file, path + key + "[" + i + "].", array.inputPositionOf(i).line(), child));
        }
        return sections;
    }

    private TomlArray array(String key) {
        if (read(key) instanceof TomlArray array) {
            return array;
        }
        throw invalid(key, "must be a list");
    }

    FirwheelException invalid(String key, String problem) {
        return new FirwheelException(
                ResultCode.BAD_USAGE, file + ":" + lineOf(key) + ": " + path + key + ": " + problem);
    }

    private Object read(String key) {
        unread.remove(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            throw invalid(key, "missing");
        }
        return value;
    }

    private int lineOf(String key) {
        @Nullable TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }
}
