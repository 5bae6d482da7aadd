/** Choice of a target for a request, and the budget for sending requests again. No I/O. */
@NullMarked
package firwheel.proxy.balance;

import org.jspecify.annotations.NullMarked;
