package firwheel.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. A write replaces the whole object. */
public interface ObjectStore {
    /** Reads an object; empty when it does not exist. */
    CompletableFuture<Optional<byte[]>> get(String name);

    /** Creates or replaces an object. */
    CompletableFuture<Void> put(String name, byte[] content);
}
