package firwheel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class PrefixHasherTest {
    @Test
    void commonPrefixesShareHashesUpToTheFirstDifferentBlock() {
        byte[] first = new byte[4 * PrefixHasher.BLOCK_BYTES + 10];
        byte[] second = first.clone();
        second[PrefixHasher.BLOCK_BYTES + 3] = 1;

        List<Long> one = PrefixHasher.hash(first);
        List<Long> two = PrefixHasher.hash(second);

        assertThat(one).hasSize(4).doesNotHaveDuplicates();
        assertThat(two.get(0)).isEqualTo(one.get(0));
        assertThat(two.subList(1, 4)).doesNotContainAnyElementsOf(one);
        assertThat(PrefixHasher.hash(new byte[PrefixHasher.BLOCK_BYTES - 1])).isEmpty();
    }
}
