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
    void startOver() {
        check = new CompletionCheck(MODEL, PROMPT, 3);
    }

    private void token(String id, String text) {
        check.onEvent("data: {\"id\":\"" + id + "\",\"choices\":[{\"text\":\"" + text + "\"}]}");
    }

    private void tokenAt(int index) {
        token(ExpectedResponse.id(MODEL, PROMPT), tokens.get(index));
    }

    private Verdict done() {
        check.onEvent("data: [DONE]");
        return check.onCleanEnd();
    }

    @Test
    void acceptsTheWholeAnswer() {
        tokenAt(0);
        tokenAt(1);
        tokenAt(2);

        assertThat(done()).isEqualTo(Verdict.COMPLETE);
    }

    @Nested
    final class Faults {
        @Test
        void findsAMissingPiece() {
            tokenAt(0);
            tokenAt(2);

            assertThat(done()).isEqualTo(Verdict.CUT);
        }

        @Test
        void findsAMissingTail() {
            tokenAt(0);

            assertThat(done()).isEqualTo(Verdict.CUT);
        }

        @Test
        void findsADoubledPiece() {
            tokenAt(0);
            tokenAt(0);

            assertThat(done()).isEqualTo(Verdict.DOUBLED);
        }

        @Test
        void findsAPieceOfAnotherAnswer() {
            token("cmpl-other", tokens.get(0));

            assertThat(done()).isEqualTo(Verdict.FOREIGN);
        }

        @Test
        void findsACleanEndWithoutTheLastEvent() {
            tokenAt(0);

            assertThat(check.onCleanEnd()).isEqualTo(Verdict.CUT);
        }
    }

    @Nested
    final class Breaks {
        @Test
        void tellsABrokenConnectionFromACut() {
            tokenAt(0);

            assertThat(check.onBreak()).isEqualTo(Verdict.ABORTED);
        }

        @Test
        void tellsAnErrorEvent() {
            tokenAt(0);
            check.onEvent("event: error\ndata: {}");

            assertThat(check.onBreak()).isEqualTo(Verdict.FAILED);
        }
    }

    @Test
    void findsBookingsThatRanTwiceOrThoughRefused() {
        LedgerCheck ledger = new LedgerCheck();
        ledger.note("a", Verdict.COMPLETE);
        ledger.note("b", Verdict.NOT_RUN);
        ledger.note("c", Verdict.COMPLETE);
        var first = new firwheel.standin.StandInService.LedgerEntry("/bookings", "", "a");
        var second = new firwheel.standin.StandInService.LedgerEntry("/bookings", "", "b");

        assertThat(ledger.compare(List.of(List.of(first, second), List.of(first))))
                .isEqualTo(new LedgerCheck.Findings(3, 1, 1, 1));
    }
}
