package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class PlacementSourcesTest {
    private static final String ROOT = "10.0.0.1";

    private final PlacementSources sources = new PlacementSources(ROOT);

    @Test
    void largestGroupHasFewAgentsPerSourceAndPerPath() {
        sources.startRound(7);
        Map<String, Integer> fetchesBefore = new HashMap<>();
        Map<String, Integer> fetchers = new HashMap<>();
        for (int i = 0; i < 409; i++) {
            String source = sources.next("agent-" + i);
            fetchers.merge(source, 1, Integer::sum);
            fetchesBefore.put("agent-" + i, fetchesBefore.getOrDefault(source, 0) + 1);
        }

        assertThat(fetchers.values()).allMatch(count -> count <= 4);
        assertThat(fetchesBefore.values()).allMatch(count -> count <= 5);
    }

    @Test
    void agentsThatHaveThePlacementAreTheSourcesOfTheNextRound() {
        sources.startRound(7);
        sources.next("10.0.0.2");
        sources.onTaken(7, "10.0.0.2");
        sources.startRound(7);

        assertThat(sources.next("10.0.0.3")).isEqualTo("10.0.0.2");
    }

    @Test
    void agentsThatHaveAnotherVersionAreNoSources() {
        sources.startRound(7);
        sources.next("10.0.0.2");
        sources.onTaken(7, "10.0.0.2");
        sources.startRound(8);
        sources.onTaken(7, "10.0.0.2");

        assertThat(sources.next("10.0.0.3")).isEqualTo(ROOT);
    }
}
