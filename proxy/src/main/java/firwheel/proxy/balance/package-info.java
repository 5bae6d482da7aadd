/** Target selection, retry budget and retry delays. Performs no I/O. */
@NullMarked
package firwheel.proxy.balance;

import org.jspecify.annotations.NullMarked;
