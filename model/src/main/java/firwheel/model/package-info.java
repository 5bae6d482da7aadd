/** Identifiers, records, result codes and log events shared by all modules. */
@NullMarked
package firwheel.model;

import org.jspecify.annotations.NullMarked;
