/** Client interfaces of the platform's table service, object store and host list. */
@NullMarked
package firwheel.store;

import org.jspecify.annotations.NullMarked;
