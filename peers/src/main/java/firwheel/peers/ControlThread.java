package firwheel.peers;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Creates the thread that owns the table replica and membership of a process. */
public final class ControlThread {
    private ControlThread() {}

    /** Returns an executor with a single daemon thread, which runs tasks in order. */
    public static ExecutorService newExecutor() {
        return Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "firwheel-control");
            thread.setDaemon(true);
            return thread;
        });
    }
}
