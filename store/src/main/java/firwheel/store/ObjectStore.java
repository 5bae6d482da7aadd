package firwheel.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. Writes replace whole objects. */
public interface ObjectStore {
    /** Reads an object; empty when absent. */
    CompletableFuture<Optional<byte[]>> get(String name);

    /** Writes an object. */
    CompletableFuture<Void> put(String name, byte[] content);
}
