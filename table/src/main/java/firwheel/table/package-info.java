/** Table rows, checks, merging, distribution, membership and leases. */
@NullMarked
package firwheel.table;

import org.jspecify.annotations.NullMarked;
