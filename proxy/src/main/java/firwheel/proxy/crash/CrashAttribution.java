package firwheel.proxy.crash;

import firwheel.proxy.targets.Target;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Parts of prompts to which crashes are attributed together, because nothing tells them apart, with evidence that is
 * strong enough to refuse requests that have all of them.
 *
 * @param strengthAboveDecisive strength of the evidence beyond that for which requests are refused
 * @param targets targets that crashed
 */
record CrashAttribution(int strengthAboveDecisive, Set<Target.Key> targets) {
    private static final int DECISIVE_STRENGTH = 2;
    private static final int DECISIVE_STRENGTH_IF_FAMILIAR = 3;

    /** The likeliest suspects of one crash. They have the same strength and are all familiar or all not. */
    private static final class Suspects {
        private final Set<PromptPart> parts = new LinkedHashSet<>();
        private int likelihood;
        private int strengthAboveDecisive;

        void add(PromptPart part, PartEvidence evidence) {
            // Strength goes first; of equally strong suspects, those that no target has responded to are likelier.
            int likelihoodOfPart = 2 * evidence.strength() + (evidence.isFamiliar() ? 0 : 1);
            if (likelihoodOfPart > likelihood) {
                parts.clear();
                likelihood = likelihoodOfPart;
                strengthAboveDecisive = evidence.strength()
                        - (evidence.isFamiliar() ? DECISIVE_STRENGTH_IF_FAMILIAR : DECISIVE_STRENGTH);
            }
            if (likelihoodOfPart == likelihood) {
                parts.add(part);
            }
        }
    }

    /** Returns the parts for which requests are refused. The work grows with the number of suspicions. */
    static Map<Set<PromptPart>, CrashAttribution> find(Map<PromptPart, PartEvidence> evidenceByPart) {
        Map<Target.Key, Suspects> suspectsByTarget = new HashMap<>();
        evidenceByPart.forEach((part, evidence) -> evidence.suspectedCrashes().forEach(target -> suspectsByTarget
                .computeIfAbsent(target, key -> new Suspects())
                .add(part, evidence)));
        Map<Set<PromptPart>, CrashAttribution> found = new LinkedHashMap<>();
        suspectsByTarget.forEach((target, suspects) -> {
            if (suspects.strengthAboveDecisive >= 0) {
                found.computeIfAbsent(
                                suspects.parts,
                                parts -> new CrashAttribution(suspects.strengthAboveDecisive, new HashSet<>()))
                        .targets()
                        .add(target);
            }
        });
        return found;
    }
}
