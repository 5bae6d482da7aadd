package firwheel.routing;

import firwheel.model.Priority;
import firwheel.model.RankKey;
import firwheel.model.TargetKind;
import java.util.List;
import java.util.Set;

/**
 * Properties of a request that routing uses.
 *
 * @param kind model group or plain service
 * @param servedName model or service name
 * @param organisation organisation of the caller
 * @param priority priority of the request
 * @param prefixHashes hashes of the block-aligned prompt prefixes, shortest first; see {@link PrefixHasher}
 * @param estimatedTokens estimated prompt and output tokens
 * @param excluded ranks already tried without success
 */
public record RouteRequest(
        TargetKind kind,
        String servedName,
        String organisation,
        Priority priority,
        List<Long> prefixHashes,
        int estimatedTokens,
        Set<RankKey> excluded) {
    public RouteRequest {
        prefixHashes = List.copyOf(prefixHashes);
        excluded = Set.copyOf(excluded);
    }
}
