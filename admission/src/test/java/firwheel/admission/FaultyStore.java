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

/** Table service whose answers are late, lost before or after the write, or refused. */
final class FaultyStore implements TableService {
    private final FaultWorld world;
    private final InMemoryTableService rows = new InMemoryTableService();
    private boolean down;

    FaultyStore(FaultWorld world) {
        this.world = world;
        if (world.faults.contains(FaultWorld.Fault.STORE_DOWN)) {
            world.after(world.between(0, 1500), () -> down = true);
            world.after(world.between(1500, 4000), () -> down = false);
        }
    }

    @Override
    public CompletableFuture<List<StoredRow>> read(List<String> keys) {
        return answer(() -> rows.read(keys));
    }

    @Override
    public CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
        return answer(() -> rows.scan(prefix, afterKey, limit));
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        if (!down && world.has(FaultWorld.Fault.STORE_ANSWER_LOST, 0.3)) {
            world.saw("store answer lost");
            if (world.random.nextInt(3) > 0) {
                world.after(
                        world.between(0, 300), () -> rows.commit(transaction).join());
            }
            return fail(ResultCode.PLATFORM_UNKNOWN, 50);
        }
        return answer(() -> rows.commit(transaction));
    }

    private <T> CompletableFuture<T> answer(Supplier<CompletableFuture<T>> work) {
        if (down) {
            world.saw("store down");
            return fail(ResultCode.PLATFORM_UNREACHABLE, 5);
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        world.after(world.between(1, 10), () -> {
            T result = work.get().join();
            world.after(world.between(1, 10), () -> answer.complete(result));
        });
        return answer;
    }

    private <T> CompletableFuture<T> fail(ResultCode code, long afterMillis) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        world.after(afterMillis, () -> answer.completeExceptionally(new FirwheelException(code, "fault")));
        return answer;
    }
}
