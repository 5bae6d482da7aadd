/** What is known of one request: whether it ran, and how much of its answer was passed on. No I/O. */
@NullMarked
package firwheel.proxy.attempt;

import org.jspecify.annotations.NullMarked;
