package firwheel.table;

import firwheel.model.ResultCode;

/**
 * One mistake in a table.
 *
 * @param code numbered code, which carries the general remedy
 * @param line line of the file, from 1; 0 when the mistake belongs to no line
 * @param column name of the column; empty when the mistake belongs to no column
 * @param detail what is wrong, with the offending value
 * @param remedy what to do
 */
public record TableProblem(ResultCode code, int line, String column, String detail, String remedy) {
    /** Returns the mistake as one line for people. */
    @Override
    public String toString() {
        String place = line == 0 ? "table" : "line " + line;
        String field = column.isEmpty() ? "" : ", column " + column;
        return code.label() + " " + place + field + ": " + detail + " " + remedy;
    }
}
