package firwheel.model;

import java.util.concurrent.CompletableFuture;

/** Utility methods for futures that the standard library lacks. */
public final class Futures {
    private Futures() {}

    /** Completes {@code to} with the result or the failure of {@code from}. */
    public static <T> void forward(CompletableFuture<? extends T> from, CompletableFuture<T> to) {
        var unused = from.whenComplete((value, error) -> {
            if (error == null) {
                to.complete(value);
            } else {
                to.completeExceptionally(error);
            }
        });
    }
}
