package firwheel.admission;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.standin.InMemoryTableService;
import firwheel.store.CommitResult;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Table service whose calls are delayed or refused, or lose their response before or after the write. */
final class FaultyStore implements TableService {
    private final FaultSimulation simulation;
    private final InMemoryTableService rows = new InMemoryTableService();
    private boolean down;

    FaultyStore(FaultSimulation simulation) {
        this.simulation = simulation;
        if (simulation.faults.contains(FaultSimulation.Fault.STORE_DOWN)) {
            simulation.schedule(simulation.randomBetween(0, 1500), () -> down = true);
            simulation.schedule(simulation.randomBetween(1500, 4000), () -> down = false);
        }
    }

    @Override
    public CompletableFuture<List<StoredRow>> read(List<String> keys) {
        return respond(() -> rows.read(keys));
    }

    @Override
    public CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
        return respond(() -> rows.scan(prefix, afterKey, limit));
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        if (!down && simulation.occurs(FaultSimulation.Fault.STORE_RESPONSE_LOST, 0.3)) {
            simulation.countEvent("store response lost");
            if (simulation.random.nextInt(3) > 0) {
                simulation.schedule(simulation.randomBetween(0, 300), () -> rows.commit(transaction)
                        .join());
            }
            return fail(ResultCode.PLATFORM_UNKNOWN, 50);
        }
        return respond(() -> rows.commit(transaction));
    }

    private <T> CompletableFuture<T> respond(Supplier<CompletableFuture<T>> work) {
        if (down) {
            simulation.countEvent("store down");
            return fail(ResultCode.PLATFORM_UNREACHABLE, 5);
        }
        CompletableFuture<T> response = new CompletableFuture<>();
        simulation.schedule(simulation.randomBetween(1, 10), () -> {
            T result = work.get().join();
            simulation.schedule(simulation.randomBetween(1, 10), () -> response.complete(result));
        });
        return response;
    }

    private <T> CompletableFuture<T> fail(ResultCode code, long afterMillis) {
        CompletableFuture<T> response = new CompletableFuture<>();
        simulation.schedule(
                afterMillis, () -> response.completeExceptionally(new FirwheelException(code, "injected fault")));
        return response;
    }
}
