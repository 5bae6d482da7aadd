package firwheel.table;

/**
 * Change of one field of one row, with values formatted as in the table file. An added or removed row has one entry for
 * each non-empty field; its value is empty on the side where the row is absent.
 *
 * @param column column of the field
 * @param before value before the change
 * @param after value after the change
 */
public record FieldChange(TableColumn column, String before, String after) {}
