package firwheel.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.csv.CsvGenerator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Converts tables to and from CSV files. The first line is a comment with the base revision of the file; the second
 * line is the header with the names of {@link TableColumn}. Lists are separated by semicolons.
 */
public final class TableCsv {
    private static final String REVISION_PREFIX = "# revision ";
    private static final List<String> HEADERS =
            Arrays.stream(TableColumn.values()).map(TableColumn::header).toList();
    private static final CsvMapper MAPPER = CsvMapper.builder()
            .enable(CsvParser.Feature.WRAP_AS_ARRAY)
            .enable(CsvParser.Feature.SKIP_EMPTY_LINES)
            .enable(CsvGenerator.Feature.STRICT_CHECK_FOR_QUOTING)
            .build();

    private TableCsv() {}

    /** Formats a table as a CSV file. */
    public static String write(TableSnapshot table) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(HEADERS);
        table.rows()
                .forEach(row -> lines.add(Arrays.stream(TableColumn.values())
                        .map(column -> column.format(row))
                        .toList()));
        try {
            return REVISION_PREFIX + table.revision() + "\n"
                    + MAPPER.writer(CsvSchema.emptySchema().withLineSeparator("\n"))
                            .writeValueAsString(lines);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("table cannot be written as CSV", e);
        }
    }

    /** Parses a file and reports all syntax and field problems. */
    public static TableFile parse(String text) {
        String content = text.startsWith("\uFEFF") ? text.substring(1) : text;
        List<TableProblem> problems = new ArrayList<>();
        OptionalLong revision = parseRevision(content, problems);
        String rest = blankRevisionLine(content, revision.isPresent());
        List<NumberedRow> rows = new ArrayList<>();
        try {
            parseLines(rest, rows, problems);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            problems.add(syntaxProblem(line, String.valueOf(e.getOriginalMessage()), "Correct the quoting."));
        } catch (IOException e) {
            throw new IllegalStateException("CSV text cannot be read", e);
        }
        return new TableFile(revision.orElse(0), rows, problems);
    }

    private static OptionalLong parseRevision(String content, List<TableProblem> problems) {
        String first = content.lines().findFirst().orElse("").strip();
        String number = first.startsWith(REVISION_PREFIX.strip())
                ? first.substring(REVISION_PREFIX.strip().length()).strip()
                : "";
        if (number.matches("[0-9]{1,18}")) {
            return OptionalLong.of(Long.parseLong(number));
        }
        problems.add(syntaxProblem(
                1, "the first line is not '" + REVISION_PREFIX + "N'.", "Keep the first line that export wrote."));
        return OptionalLong.empty();
    }

    /** Blanks the revision comment but keeps its line break, so that reported line numbers stay correct. */
    private static String blankRevisionLine(String content, boolean hasRevision) {
        int end = content.indexOf('\n');
        return hasRevision ? (end < 0 ? "" : content.substring(end)) : content;
    }

    private static void parseLines(String text, List<NumberedRow> rows, List<TableProblem> problems)
            throws IOException {
        boolean headerSeen = false;
        try (CsvParser parser = MAPPER.getFactory().createParser(text)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.START_ARRAY) {
                int line = 0;
                List<String> fields = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    line = line == 0 ? parser.currentTokenLocation().getLineNr() : line;
                    fields.add(parser.getText());
                }
                if (headerSeen) {
                    parseRow(line, fields, rows, problems);
                } else {
                    checkHeader(line, fields, problems);
                    headerSeen = true;
                }
            }
        }
        if (!headerSeen) {
            problems.add(syntaxProblem(0, "the file has no header line.", "Start from the output of export."));
        }
    }

    private static void parseRow(int line, List<String> fields, List<NumberedRow> rows, List<TableProblem> problems) {
        if (fields.get(0).startsWith("#")) {
            return;
        }
        RowParser parser = new RowParser(line, fields);
        parser.parse().ifPresent(row -> rows.add(new NumberedRow(line, row)));
        problems.addAll(parser.problems());
    }

    private static void checkHeader(int line, List<String> fields, List<TableProblem> problems) {
        List<String> found = fields.stream().map(String::trim).toList();
        if (!found.equals(HEADERS)) {
            problems.add(syntaxProblem(
                    line, "the header is " + String.join(",", found) + ".", "Use " + String.join(",", HEADERS) + "."));
        }
    }

    private static TableProblem syntaxProblem(int line, String detail, String remedy) {
        return new TableProblem(ResultCode.TABLE_SYNTAX, line, "", detail, remedy);
    }
}
