package firwheel.table;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TableCsvTest {
    private static final TableSnapshot TABLE = TestRows.table(7, TestRows.row("a", 1), TestRows.row("b", 2));

    @Test
    void roundTrips() {
        TableFile file = TableCsv.parse(TableCsv.write(TABLE));
        assertThat(file.problems()).isEmpty();
        assertThat(file.snapshot()).isEqualTo(TABLE);
        assertThat(file.rows()).extracting(NumberedRow::line).containsExactly(3, 4);
        assertThat(TableCsv.write(TABLE)).contains("a,model,m1;m2,zone-a,serving,1.5,8,16,100000,true,0:10.0.1.1:7000");
    }

    @Test
    void jsonRoundTrips() {
        assertThat(RowJson.readRow(RowJson.write(TABLE.rows().get(0))))
                .isEqualTo(TABLE.rows().get(0));
    }

    @Nested
    final class Problems {
        @Test
        void areAllReportedAtOnceWithLineAndColumn() {
            String text = TableCsv.write(TABLE)
                    .replace("a,model,m1;m2,zone-a,serving,1.5", "a,modle,m1;m2,zone-a,serving,-1")
                    .replace("0:10.0.2.1:7000", "zero:10.0.2.1:7000");
            assertThat(TableCsv.parse(text).problems())
                    .extracting(problem -> problem.code().label() + " " + problem.line() + " " + problem.column())
                    .containsExactly("FW-5002 3 kind", "FW-5002 3 weight", "FW-5002 4 hosts");
        }

        @Test
        void ofSyntaxNameTheLine() {
            assertThat(TableCsv.parse("").problems()).isNotEmpty();
            assertThat(TableCsv.parse("name\na").problems()).hasSize(3);
            String text = TableCsv.write(TABLE) + "c,model\n";
            assertThat(TableCsv.parse(text).problems())
                    .extracting(TableProblem::code, TableProblem::line)
                    .containsExactly(org.assertj.core.groups.Tuple.tuple(ResultCode.TABLE_SYNTAX, 5));
        }
    }
}
