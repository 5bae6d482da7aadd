package firwheel.proxy.crash;

import java.util.ArrayList;
import java.util.List;

/** Chooses what to repeat to a peer, so that neither what requests are refused for nor the rest is left out for long. */
final class RepeatSchedule {
    private int strongTurn;
    private int otherTurn;

    /**
     * Returns up to {@code max} different items, at least half of them strong if there are as many. Successive calls
     * return all items in turn.
     */
    <T> List<T> next(List<T> strong, List<T> others, int max) {
        int ofOthers = Math.min(others.size(), max / 2);
        int ofStrong = Math.min(strong.size(), max - ofOthers);
        ofOthers = Math.min(others.size(), max - ofStrong);
        List<T> items = new ArrayList<>();
        addInTurn(items, strong, strongTurn, ofStrong);
        addInTurn(items, others, otherTurn, ofOthers);
        strongTurn += ofStrong;
        otherTurn += ofOthers;
        return items;
    }

    private static <T> void addInTurn(List<T> items, List<T> source, int turn, int count) {
        for (int i = 0; i < count; i++) {
            items.add(source.get(Math.floorMod(turn + i, source.size())));
        }
    }
}
