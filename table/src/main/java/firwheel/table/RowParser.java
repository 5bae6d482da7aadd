package firwheel.table;

import firwheel.model.RankAddress;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/** Parses the fields of one line and collects all problems. */
final class RowParser {
    private static final List<TableColumn> COLUMNS = List.of(TableColumn.values());

    private final int line;
    private final List<String> fields;
    private final List<TableProblem> problems = new ArrayList<>();

    RowParser(int line, List<String> fields) {
        this.line = line;
        this.fields = fields;
    }

    List<TableProblem> problems() {
        return problems;
    }

    /** Returns the row, or empty when a field is invalid. */
    Optional<TargetRow> parse() {
        int columns = COLUMNS.size();
        if (fields.size() != columns) {
            problems.add(new TableProblem(
                    ResultCode.TABLE_SYNTAX,
                    line,
                    "",
                    "the line has " + fields.size() + " fields.",
                    "Give " + columns + " fields; quote fields that contain commas."));
            return Optional.empty();
        }
        String name = field(TableColumn.NAME);
        TargetKind kind = enumConstant(TableColumn.KIND, TargetKind.MODEL);
        List<String> models = list(TableColumn.MODELS);
        String zone = field(TableColumn.AVAILABILITY_ZONE);
        RowState state = enumConstant(TableColumn.STATE, RowState.SERVING);
        double weight = decimal(TableColumn.WEIGHT);
        int maxInFlight = (int) integer(TableColumn.MAX_IN_FLIGHT, 1, Integer.MAX_VALUE);
        int maxQueue = (int) integer(TableColumn.MAX_QUEUE, 0, Integer.MAX_VALUE);
        long maxTokens = integer(TableColumn.MAX_TOKENS_IN_FLIGHT, 1, Long.MAX_VALUE);
        boolean idempotent = bool(TableColumn.IDEMPOTENT);
        List<RankAddress> hosts = hosts();
        boolean checksOrders = bool(TableColumn.CHECKS_ORDERS);
        boolean fencesOrders = bool(TableColumn.FENCES_ORDERS);
        double skewPrice = decimal(TableColumn.SKEW_PRICE);
        double movePrice = decimal(TableColumn.MOVE_PRICE);
        if (!problems.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new TargetRow(
                name,
                kind,
                models,
                zone,
                state,
                weight,
                maxInFlight,
                maxQueue,
                maxTokens,
                idempotent,
                hosts,
                checksOrders,
                fencesOrders,
                skewPrice,
                movePrice));
    }

    private String field(TableColumn column) {
        return fields.get(COLUMNS.indexOf(column)).trim();
    }

    private List<String> list(TableColumn column) {
        return Arrays.stream(field(column).split(";", -1))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    private <E extends Enum<E>> E enumConstant(TableColumn column, E fallback) {
        Class<E> type = fallback.getDeclaringClass();
        String allowed = Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT);
        return convert(
                column, fallback, "one of " + allowed, text -> Enum.valueOf(type, text.toUpperCase(Locale.ROOT)));
    }

    private boolean bool(TableColumn column) {
        return convert(column, false, "true or false", text -> switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException(text);
        });
    }

    private double decimal(TableColumn column) {
        return convert(column, 0.0, "a number of at least 0", text -> {
            double value = Double.parseDouble(text);
            require(value >= 0 && Double.isFinite(value), text);
            return value;
        });
    }

    private long integer(TableColumn column, long min, long max) {
        String expected = "a whole number of at least " + min + (max < Long.MAX_VALUE ? ", at most " + max : "");
        return convert(column, min, expected, text -> {
            long value = Long.parseLong(text);
            require(value >= min && value <= max, text);
            return value;
        });
    }

    private List<RankAddress> hosts() {
        String expected = "rank:ip:port, separated by semicolons";
        return convert(TableColumn.HOSTS, List.of(), expected, text -> Arrays.stream(text.split(";", -1))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .map(RowParser::host)
                .sorted(Comparator.comparingInt(RankAddress::rank))
                .toList());
    }

    private static RankAddress host(String text) {
        int first = text.indexOf(':');
        int last = text.lastIndexOf(':');
        require(first > 0 && last > first, text);
        return new RankAddress(
                Integer.parseInt(text.substring(0, first)),
                text.substring(first + 1, last),
                Integer.parseInt(text.substring(last + 1)));
    }

    private <T> T convert(TableColumn column, T fallback, String expected, Function<String, T> conversion) {
        String text = field(column);
        try {
            return conversion.apply(text);
        } catch (IllegalArgumentException e) {
            problems.add(new TableProblem(
                    ResultCode.TABLE_FIELD,
                    line,
                    column.header(),
                    "'" + text + "' is not valid.",
                    "Give " + expected + "."));
            return fallback;
        }
    }

    private static void require(boolean valid, String text) {
        if (!valid) {
            throw new IllegalArgumentException(text);
        }
    }
}
