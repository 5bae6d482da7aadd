/** Rows of the table and their validation, merging and distribution; cluster membership and leases. */
@NullMarked
package firwheel.table;

import org.jspecify.annotations.NullMarked;
