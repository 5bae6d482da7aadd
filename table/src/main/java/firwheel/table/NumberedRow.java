package firwheel.table;

import firwheel.model.TargetRow;

/**
 * Row with its line number in a file.
 *
 * @param line line number, from 1; 0 when the row does not come from a file
 * @param row the row
 */
public record NumberedRow(int line, TargetRow row) {}
