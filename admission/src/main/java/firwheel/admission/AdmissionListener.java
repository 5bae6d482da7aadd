package firwheel.admission;

import firwheel.model.ResultCode;
import java.time.Duration;

/** Receives the outcome of queued attempts, on the thread that calls {@link AdmissionController}. */
public interface AdmissionListener {
    /** Called when the attempt has left the queue and must be started. */
    void onStarted(AttemptDescriptor attempt);

    /** Called when the attempt has left the queue and will never run; the code is its final result. */
    void onRefused(AttemptDescriptor attempt, ResultCode code, Duration retryAfter);
}
