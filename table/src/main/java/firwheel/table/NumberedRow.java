package firwheel.table;

import firwheel.model.TargetRow;

/**
 * Row with its place in a file.
 *
 * @param line line of the file, from 1; 0 when the row comes from the store
 * @param row the row
 */
public record NumberedRow(int line, TargetRow row) {}
