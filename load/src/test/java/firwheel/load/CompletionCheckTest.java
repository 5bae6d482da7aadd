package firwheel.load;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.standin.ExpectedResponse;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CompletionCheckTest {
    private static final String MODEL = "m";
    private static final String PROMPT = "p";

    private final List<String> tokens = ExpectedResponse.tokens(MODEL, PROMPT, 3);
    private CompletionCheck check = new CompletionCheck(MODEL, PROMPT, 3);

    @BeforeEach
    void createCheck() {
        check = new CompletionCheck(MODEL, PROMPT, 3);
    }

    private void sendToken(String id, String text) {
        check.onEvent("data: {\"id\":\"" + id + "\",\"choices\":[{\"text\":\"" + text + "\"}]}");
    }

    private void sendTokenAt(int index) {
        sendToken(ExpectedResponse.id(MODEL, PROMPT), tokens.get(index));
    }

    private Verdict sendDone() {
        check.onEvent("data: [DONE]");
        return check.onStreamEnd();
    }

    @Test
    void acceptsTheCompleteResponse() {
        sendTokenAt(0);
        sendTokenAt(1);
        sendTokenAt(2);

        assertThat(sendDone()).isEqualTo(Verdict.COMPLETE);
    }

    @Nested
    final class Faults {
        @Test
        void detectsAMissingToken() {
            sendTokenAt(0);
            sendTokenAt(2);

            assertThat(sendDone()).isEqualTo(Verdict.CUT);
        }

        @Test
        void detectsATruncatedResponse() {
            sendTokenAt(0);

            assertThat(sendDone()).isEqualTo(Verdict.CUT);
        }

        @Test
        void detectsADuplicateToken() {
            sendTokenAt(0);
            sendTokenAt(0);

            assertThat(sendDone()).isEqualTo(Verdict.DOUBLED);
        }

        @Test
        void detectsATokenOfAnotherResponse() {
            sendToken("cmpl-other", tokens.get(0));

            assertThat(sendDone()).isEqualTo(Verdict.FOREIGN);
        }

        @Test
        void detectsAStreamEndWithoutTheDoneEvent() {
            sendTokenAt(0);

            assertThat(check.onStreamEnd()).isEqualTo(Verdict.CUT);
        }
    }

    @Nested
    final class ConnectionLoss {
        @Test
        void reportsAnAbortedConnection() {
            sendTokenAt(0);

            assertThat(check.onConnectionLost()).isEqualTo(Verdict.ABORTED);
        }

        @Test
        void reportsAnErrorEvent() {
            sendTokenAt(0);
            check.onEvent("event: error\ndata: {}");

            assertThat(check.onConnectionLost()).isEqualTo(Verdict.FAILED);
        }
    }

    @Test
    void detectsDuplicateRefusedAndMissingBookings() {
        LedgerCheck ledger = new LedgerCheck();
        ledger.recordVerdict("a", Verdict.COMPLETE);
        ledger.recordVerdict("b", Verdict.NOT_RUN);
        ledger.recordVerdict("c", Verdict.COMPLETE);
        var first = new firwheel.standin.StandInService.LedgerEntry("/bookings", "", "a");
        var second = new firwheel.standin.StandInService.LedgerEntry("/bookings", "", "b");

        assertThat(ledger.compare(List.of(List.of(first, second), List.of(first))))
                .isEqualTo(new LedgerCheck.Findings(3, 1, 1, 1));
    }
}
