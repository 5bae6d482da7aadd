package firwheel.peers;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Makes the thread that owns the control state of a process. */
public final class ControlThread {
    private ControlThread() {}

    /** Starts a daemon thread that runs control work in order. */
    public static ExecutorService newExecutor() {
        return Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "firwheel-control");
            thread.setDaemon(true);
            return thread;
        });
    }
}
