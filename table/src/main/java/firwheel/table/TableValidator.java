package firwheel.table;

import firwheel.model.RankAddress;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Validates tables and reports all problems at once. */
public final class TableValidator {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern IPV4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:.]*");

    private TableValidator() {}

    /**
     * Validation options.
     *
     * @param allowEmpty whether a change may leave a model or service without a serving target
     */
    public record Options(boolean allowEmpty) {
        /** Requires each model and service to keep a serving target. */
        public static final Options DEFAULT = new Options(false);
    }

    /** Validates the rows of a file. */
    public static List<TableProblem> validate(List<NumberedRow> rows) {
        List<TableProblem> problems = new ArrayList<>();
        rows.forEach(row -> checkRow(row, problems));
        checkNames(rows, problems);
        checkAddresses(rows, problems);
        return problems;
    }

    /** Validates a table that was not read from a file. */
    public static List<TableProblem> validate(TableSnapshot table) {
        return validate(
                table.rows().stream().map(row -> new NumberedRow(0, row)).toList());
    }

    /**
     * Validates the table after a change and, unless the options allow it, that no model or service loses its last
     * serving target.
     */
    public static List<TableProblem> validateChange(TableSnapshot before, TableSnapshot after, Options options) {
        List<TableProblem> problems = new ArrayList<>(validate(after));
        if (!options.allowEmpty()) {
            problems.addAll(findEmptiedModels(before, after));
        }
        return problems;
    }

    /**
     * Returns one problem for each model or service that has a serving target in {@code before} but not in {@code
     * after}.
     */
    public static List<TableProblem> findEmptiedModels(TableSnapshot before, TableSnapshot after) {
        Set<String> emptied = servedNames(before);
        emptied.removeAll(servedNames(after));
        return emptied.stream()
                .map(name -> new TableProblem(
                        ResultCode.TABLE_EMPTY_MODEL,
                        0,
                        TableColumn.MODELS.header(),
                        name + " is left with no serving target.",
                        "Keep a serving row of weight above 0, or pass --allow-empty."))
                .toList();
    }

    private static Set<String> servedNames(TableSnapshot table) {
        return table.rows().stream()
                .filter(row -> row.state() == RowState.SERVING && row.weight() > 0)
                .flatMap(row -> row.models().stream().map(name -> TableColumn.KIND.format(row) + " " + name))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static void checkRow(NumberedRow numbered, List<TableProblem> problems) {
        TargetRow row = numbered.row();
        checkName(numbered, TableColumn.NAME, row.name(), problems);
        checkName(numbered, TableColumn.AVAILABILITY_ZONE, row.availabilityZone(), problems);
        row.models().forEach(model -> checkModel(numbered, model, problems));
        if (row.models().isEmpty()) {
            problems.add(fieldProblem(
                    numbered,
                    TableColumn.MODELS,
                    "the list is empty.",
                    "List the models or services that the row serves."));
        }
        if (!Double.isFinite(row.weight()) || !(row.skewPrice() >= 0) || !(row.movePrice() >= 0)) {
            problems.add(fieldProblem(
                    numbered,
                    TableColumn.WEIGHT,
                    "weight, skew price or move price is not a valid number.",
                    "Give numbers of at least 0."));
        }
        checkHosts(numbered, problems);
    }

    private static void checkName(NumberedRow row, TableColumn column, String text, List<TableProblem> problems) {
        if (!NAME.matcher(text).matches()) {
            problems.add(fieldProblem(
                    row,
                    column,
                    "'" + text + "' is not a valid name.",
                    "Use 1 to 64 letters, digits, dots, dashes and underscores; start with a letter or digit."));
        }
    }

    private static void checkModel(NumberedRow row, String model, List<TableProblem> problems) {
        if (model.isBlank() || model.length() > 128 || model.contains(";") || !model.equals(model.trim())) {
            problems.add(fieldProblem(
                    row,
                    TableColumn.MODELS,
                    "'" + model + "' is not a valid name.",
                    "Use 1 to 128 characters, no semicolon, no space at either end."));
        }
    }

    private static void checkHosts(NumberedRow numbered, List<TableProblem> problems) {
        List<RankAddress> hosts = numbered.row().hosts();
        if (hosts.isEmpty()) {
            problems.add(fieldProblem(numbered, TableColumn.HOSTS, "the list is empty.", "Give rank:ip:port."));
        }
        boolean inOrder = true;
        for (int rank = 0; rank < hosts.size(); rank++) {
            RankAddress host = hosts.get(rank);
            inOrder &= host.rank() == rank;
            if (!IPV4.matcher(host.ip()).matches() && !IPV6.matcher(host.ip()).matches()) {
                problems.add(fieldProblem(
                        numbered,
                        TableColumn.HOSTS,
                        "'" + host.ip() + "' is not an IP address.",
                        "Give an IP address."));
            }
        }
        if (!inOrder) {
            String ranks =
                    hosts.stream().map(host -> String.valueOf(host.rank())).collect(Collectors.joining(", "));
            problems.add(new TableProblem(
                    ResultCode.TABLE_RANKS,
                    numbered.line(),
                    TableColumn.HOSTS.header(),
                    "the ranks are " + ranks + ".",
                    "Number them 0 to " + (hosts.size() - 1) + ", each once."));
        }
    }

    private static void checkNames(List<NumberedRow> rows, List<TableProblem> problems) {
        Map<String, NumberedRow> seen = new HashMap<>();
        for (NumberedRow row : rows) {
            NumberedRow first = seen.putIfAbsent(row.row().name(), row);
            if (first != null) {
                problems.add(duplicateProblem(
                        row, TableColumn.NAME, "name " + row.row().name(), first));
            }
        }
    }

    private static void checkAddresses(List<NumberedRow> rows, List<TableProblem> problems) {
        Map<String, NumberedRow> seen = new HashMap<>();
        for (NumberedRow row : rows) {
            for (RankAddress host : row.row().hosts()) {
                NumberedRow first = seen.putIfAbsent(host.endpoint(), row);
                if (first != null) {
                    problems.add(duplicateProblem(row, TableColumn.HOSTS, "address " + host.endpoint(), first));
                }
            }
        }
    }

    private static TableProblem duplicateProblem(NumberedRow row, TableColumn column, String value, NumberedRow first) {
        String lineSuffix = first.line() == 0 ? "" : ", line " + first.line();
        return new TableProblem(
                ResultCode.TABLE_DUPLICATE,
                row.line(),
                column.header(),
                value + " of row " + row.row().name() + " is already used by row "
                        + first.row().name() + lineSuffix + ".",
                "Remove one of the two.");
    }

    private static TableProblem fieldProblem(NumberedRow row, TableColumn column, String detail, String remedy) {
        String rowPrefix = row.line() == 0 ? "row " + row.row().name() + ": " : "";
        return new TableProblem(ResultCode.TABLE_FIELD, row.line(), column.header(), rowPrefix + detail, remedy);
    }
}
