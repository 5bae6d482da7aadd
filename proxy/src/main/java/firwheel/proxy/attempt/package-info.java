/** Execution state of a request and parsing of its event stream. Performs no I/O. */
@NullMarked
package firwheel.proxy.attempt;

import org.jspecify.annotations.NullMarked;
