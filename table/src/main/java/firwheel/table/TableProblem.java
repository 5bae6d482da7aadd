package firwheel.table;

import firwheel.model.ResultCode;

/**
 * Validation problem of a table.
 *
 * @param code result code
 * @param line line number in the file, from 1; 0 when the problem has no line
 * @param column column name; empty when the problem has no column
 * @param detail what is wrong, including the offending value
 * @param remedy how to correct the problem
 */
public record TableProblem(ResultCode code, int line, String column, String detail, String remedy) {
    /** Returns a one-line, human-readable description. */
    @Override
    public String toString() {
        String place = line == 0 ? "table" : "line " + line;
        String field = column.isEmpty() ? "" : ", column " + column;
        return code.label() + " " + place + field + ": " + detail + " " + remedy;
    }
}
