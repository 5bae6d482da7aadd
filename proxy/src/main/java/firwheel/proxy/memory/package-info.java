/** Bytes that a process keeps for callers and targets, and the bound for their sum. */
@NullMarked
package firwheel.proxy.memory;

import org.jspecify.annotations.NullMarked;
