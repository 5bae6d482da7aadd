package firwheel.table;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firwheel.model.FirwheelException;
import firwheel.standin.FaultyTableService;
import firwheel.standin.FaultyTableService.Faults;
import firwheel.standin.InMemoryTableService;
import firwheel.standin.VirtualTime;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class LeaseHolderTest {
    private final VirtualTime time = new VirtualTime();
    private final InMemoryTableService store = new InMemoryTableService();
    private final FaultyTableService service = new FaultyTableService(store, time, time, 3);
    private final LeaseHolder first = holder("first");
    private final LeaseHolder second = holder("second");
    private int writes;

    private LeaseHolder holder(String id) {
        LeaseHolder.Timing timing = new LeaseHolder.Timing(Duration.ofSeconds(10), Duration.ofSeconds(2));
        return new LeaseHolder("a", id, timing, service, time, Runnable::run, () -> "w" + writes++);
    }

    private void tick(LeaseHolder holder) {
        var unused = holder.acquireOrRenew();
        time.runFor(Duration.ofMillis(100));
    }

    @Test
    void renewalKeepsNumberAndTakeoverRaisesIt() {
        for (int i = 0; i < 20; i++) {
            tick(first);
            tick(second);
            time.runFor(Duration.ofSeconds(3));
            assertThat(first.fencingNumber()).hasValue(1);
            assertThat(second.fencingNumber()).isEmpty();
        }
        time.runFor(Duration.ofMillis(6_600));
        tick(second);
        assertThat(second.fencingNumber())
                .as("row observed unchanged for less than the lease duration")
                .isEmpty();
        assertThat(first.fencingNumber())
                .as("released by the safety margin before expiry")
                .isEmpty();
        time.runFor(Duration.ofSeconds(1));
        tick(second);
        assertThat(second.fencingNumber()).hasValue(2);
    }

    @Test
    void expiredLeaseIsNotHeldAfterPause() {
        tick(first);
        tick(second);
        time.runFor(Duration.ofMinutes(1));
        assertThat(first.fencingNumber()).isEmpty();
        tick(second);
        assertThat(second.fencingNumber()).hasValue(2);
        tick(first);
        assertThat(first.fencingNumber()).isEmpty();
    }

    @Nested
    final class LostResponse {
        @Test
        void toAcquisitionIsResolvedByReadingRow() {
            service.setFaults(Faults.withLostAnswers(1));
            tick(first);
            assertThat(first.fencingNumber())
                    .as("not held while the outcome of the write is unknown")
                    .isEmpty();
            time.runFor(Duration.ofSeconds(3));
            tick(first);
            assertThat(first.fencingNumber()).hasValue(1);
            time.runFor(Duration.ofSeconds(5));
            assertThat(first.fencingNumber())
                    .as("validity starts when the write is sent")
                    .isEmpty();
        }

        @Test
        void toRenewalBeyondLeaseDurationLetsLeaseExpire() {
            tick(first);
            service.setFaults(Faults.unavailable());
            for (int i = 0; i < 3; i++) {
                time.runFor(Duration.ofSeconds(3));
                tick(first);
            }
            assertThat(first.fencingNumber()).isEmpty();
            service.setFaults(Faults.NONE);
            tick(first);
            time.runFor(Duration.ofSeconds(11));
            tick(first);
            assertThat(first.fencingNumber())
                    .as("an expired lease is reacquired with a new number")
                    .hasValue(2);
        }
    }

    @Nested
    final class Fencing {
        private final FencingGuard guard = new FencingGuard();

        @Test
        void refusesLowerNumbers() {
            guard.setStoredNumber(4);
            guard.admit(5);
            guard.admit(5);
            assertThatThrownBy(() -> guard.admit(4)).isInstanceOf(FirwheelException.class);
        }

        @Test
        void refusesAllOrdersUntilStoredNumberIsLoaded() {
            tick(first);
            time.runFor(Duration.ofSeconds(30));
            tick(second);
            time.runFor(Duration.ofSeconds(30));
            tick(second);
            assertThatThrownBy(() -> guard.admit(99)).isInstanceOf(FirwheelException.class);
            guard.loadStoredNumber(store, "a", Runnable::run).join();
            long present = guard.highestNumber();
            assertThat(present).isGreaterThan(1);
            assertThatThrownBy(() -> guard.admit(present - 1)).isInstanceOf(FirwheelException.class);
            guard.admit(present);
        }
    }
}
