package firwheel.experts.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firwheel.experts.protocol.SwitchModel.Fault;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Explores every schedule of a small group: three ranks, two coordinators, and up to two kinds of fault. */
class SwitchModelTest {
    private static final RankProtocol RANK = new SwitchParticipant();
    private static final List<Set<Fault>> BUDGETS = List.of(
            EnumSet.of(Fault.SUCCESSOR),
            EnumSet.of(Fault.RESTART, Fault.TIMEOUT),
            EnumSet.of(Fault.SUCCESSOR, Fault.DUPLICATE),
            EnumSet.of(Fault.SUCCESSOR, Fault.TIMEOUT),
            EnumSet.of(Fault.SUCCESSOR, Fault.RESTART));
    private static final CoordinatorProtocol COORDINATOR = new SwitchCoordinator();

    @Test
    void noReachableStateRanAStepUnderTwoMaps() {
        for (Set<Fault> budget : BUDGETS) {
            SwitchModel model = new SwitchModel(RANK, COORDINATOR, budget);
            long states = model.explore();
            System.out.println("switch protocol: " + states + " states explored with " + budget);
            assertThat(model.commits()).isPositive();
        }
    }

    @Test
    void findsEachSeededFault() {
        assertFound(new SwitchModel(FaultyProtocols.skippingThePromise(), COORDINATOR, EnumSet.of(Fault.SUCCESSOR)));
        assertFound(new SwitchModel(FaultyProtocols.ignoringFencing(), COORDINATOR, EnumSet.of(Fault.SUCCESSOR)));
        assertFound(
                new SwitchModel(RANK, FaultyProtocols.committingOnMajority(COORDINATOR), EnumSet.of(Fault.SUCCESSOR)));
    }

    private static void assertFound(SwitchModel model) {
        assertThatThrownBy(model::explore).isInstanceOf(StepLedger.TwoMapsException.class);
    }
}
