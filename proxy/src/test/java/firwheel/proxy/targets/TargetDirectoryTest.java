package firwheel.proxy.targets;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetDirectoryTest {
    private final List<Integer> servingAtRetirement = new ArrayList<>();
    private final TargetDirectory directory = new TargetDirectory(retired -> recordServing());

    private void recordServing() {
        servingAtRetirement.add(directory.serving("svc").size());
    }

    @Nested
    final class Retirement {
        @Test
        void isNotifiedWhenTheTargetIsNoLongerListed() {
            Target target = new Target("i-1", 7, "svc", "10.0.0.9", 80, "zone-a", 8, false, null);
            directory.put(target);
            directory.remove("i-1");
            directory.put(target);
            directory.markLeaving(target.key());

            assertThat(servingAtRetirement).containsExactly(0, 0);
        }
    }
}
