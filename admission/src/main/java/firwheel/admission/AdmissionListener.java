package firwheel.admission;

import firwheel.model.ResultCode;
import java.time.Duration;

/** Hears what becomes of attempts that were queued. Called on the thread that calls the gate. */
public interface AdmissionListener {
    /** The attempt has left the queue and runs now. */
    void onStarted(AttemptDescriptor attempt);

    /** The attempt has left the queue and will never run; this is its final answer. */
    void onRefused(AttemptDescriptor attempt, ResultCode code, Duration retryAfter);
}
