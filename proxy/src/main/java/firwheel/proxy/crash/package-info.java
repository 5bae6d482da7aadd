/** Requests that crash the targets that run them: detection, evidence shared between entries, and refusal. */
@NullMarked
package firwheel.proxy.crash;

import org.jspecify.annotations.NullMarked;
