package firwheel.model;

import java.util.concurrent.CompletableFuture;

/** Small steps with futures that the standard library lacks. */
public final class Futures {
    private Futures() {}

    /** Completes {@code to} as {@code from} completes. */
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
