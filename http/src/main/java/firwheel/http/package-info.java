/** HTTP clients that refuse malformed heads of responses. */
@NullMarked
package firwheel.http;

import org.jspecify.annotations.NullMarked;
