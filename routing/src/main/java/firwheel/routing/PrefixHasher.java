package firwheel.routing;

import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** Hashes the block-aligned prefixes of a prompt; prompts that share leading blocks have the same leading hashes. */
public final class PrefixHasher {
    /** Size of a block of the prompt, in bytes. */
    public static final int BLOCK_BYTES = 256;

    /** Estimated number of tokens in one block. */
    public static final int BLOCK_TOKENS = 64;

    /** Maximum number of blocks that are hashed. */
    public static final int MAX_BLOCKS = 64;

    private static final int AFFINITY_BLOCKS = 4;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private PrefixHasher() {}

    /** Returns one hash for each whole block: element {@code i} covers the blocks 0 to {@code i}. */
    public static List<Long> hash(byte[] prompt) {
        int blocks = Math.min(MAX_BLOCKS, prompt.length / BLOCK_BYTES);
        List<Long> hashes = new ArrayList<>(blocks);
        long[] hashInput = new long[2];
        for (int block = 0; block < blocks; block++) {
            hashInput[1] = HASH.hashBytes(prompt, block * BLOCK_BYTES, BLOCK_BYTES);
            hashInput[0] = HASH.hashLongs(hashInput);
            hashes.add(hashInput[0]);
        }
        return hashes;
    }

    /** Returns the ring position of a prompt: the hash of its first few blocks. */
    static long affinityKey(List<Long> prefixHashes) {
        return prefixHashes.get(Math.min(AFFINITY_BLOCKS, prefixHashes.size()) - 1);
    }
}
