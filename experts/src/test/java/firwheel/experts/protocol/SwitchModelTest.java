package firwheel.experts.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firwheel.experts.protocol.SwitchModel.Fault;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Explores every schedule of three ranks and up to two coordinators, with up to two kinds of fault. */
class SwitchModelTest {
    private static final RankProtocol RANK = new SwitchParticipant();
    private static final List<Set<Fault>> FAULT_SETS = List.of(
            EnumSet.of(Fault.SUCCESSOR),
            EnumSet.of(Fault.RESTART, Fault.TIMEOUT),
            EnumSet.of(Fault.SUCCESSOR, Fault.DUPLICATE),
            EnumSet.of(Fault.SUCCESSOR, Fault.TIMEOUT),
            EnumSet.of(Fault.SUCCESSOR, Fault.RESTART));
    private static final CoordinatorProtocol COORDINATOR = new SwitchCoordinator();

    @Test
    void runsNoStepUnderTwoMapsInAnyReachableState() {
        for (Set<Fault> faults : FAULT_SETS) {
            SwitchModel model = new SwitchModel(RANK, COORDINATOR, faults);
            long states = model.explore();
            System.out.println("switch protocol: " + states + " states explored with " + faults);
            assertThat(model.commits()).isPositive();
        }
    }

    @Test
    void detectsEachSeededFault() {
        assertDetected(
                new SwitchModel(FaultyProtocols.ignoringPendingProposals(), COORDINATOR, EnumSet.of(Fault.SUCCESSOR)));
        assertDetected(new SwitchModel(FaultyProtocols.ignoringFencing(), COORDINATOR, EnumSet.of(Fault.SUCCESSOR)));
        assertDetected(
                new SwitchModel(RANK, FaultyProtocols.committingOnMajority(COORDINATOR), EnumSet.of(Fault.SUCCESSOR)));
    }

    private static void assertDetected(SwitchModel model) {
        assertThatThrownBy(model::explore).isInstanceOf(StepMapChecker.TwoMapsException.class);
    }
}
