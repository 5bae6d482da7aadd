package firwheel.table;

/**
 * Change of one field of one row, in the text of the table file. An added or removed row has one entry for each field,
 * with an empty text on the side where the row is absent.
 *
 * @param column column of the field
 * @param before text before the change
 * @param after text after the change
 */
public record FieldChange(TableColumn column, String before, String after) {}
