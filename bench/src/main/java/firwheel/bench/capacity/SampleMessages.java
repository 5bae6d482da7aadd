package firwheel.bench.capacity;

import firwheel.model.AttemptId;
import firwheel.wire.AttemptMessage;
import firwheel.wire.LoadMessage;

/** Sample messages whose fields have typical lengths. */
final class SampleMessages {
    private SampleMessages() {}

    static AttemptMessage.Dispatch dispatch(AttemptId attempt) {
        return new AttemptMessage.Dispatch(
                attempt,
                Long.MAX_VALUE,
                "group-00012",
                17,
                "organisation-17",
                "NORMAL",
                true,
                "POST",
                "/v1/chat/completions",
                "application/json",
                "",
                new byte[0],
                60_000,
                700,
                64,
                5_000);
    }

    static LoadMessage.Report report() {
        return new LoadMessage.Report(100_000, "group-00012", 17, 60_000, 40, 3, 21, 0);
    }
}
