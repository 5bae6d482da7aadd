package firwheel.rebalance;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Placement of experts in few bytes, since a controller sends it to all ranks of its group: for each layer and rank the
 * number of experts in one byte, then the experts in one byte each, or in two if one is above 255.
 */
final class PackedPlacement {
    private static final int MAX_UNSIGNED_BYTE = 255;
    private static final int HEADER_BYTES = 5; // width of an expert, number of layers, number of ranks

    private PackedPlacement() {}

    /** Packs experts by layer, rank and slot; an empty placement is packed into no bytes. */
    static byte[] pack(int[][][] placement) {
        if (placement.length == 0) {
            return new byte[0];
        }
        int width = width(placement);
        int ranks = placement[0].length;
        ByteBuffer bytes = ByteBuffer.allocate(size(placement))
                .put((byte) width)
                .putShort((short) placement.length)
                .putShort((short) ranks);
        for (int[][] layer : placement) {
            for (int[] rank : layer) {
                bytes.put((byte) rank.length);
                for (int expert : rank) {
                    putExpert(bytes, width, expert);
                }
            }
        }
        return bytes.array();
    }

    /** Returns the number of bytes of a packed placement. */
    static int size(int[][][] placement) {
        if (placement.length == 0) {
            return 0;
        }
        int experts = Arrays.stream(placement)
                .flatMap(Arrays::stream)
                .mapToInt(rank -> rank.length)
                .sum();
        return HEADER_BYTES + placement.length * placement[0].length + experts * width(placement);
    }

    private static int width(int[][][] placement) {
        int highest = Arrays.stream(placement)
                .flatMap(Arrays::stream)
                .flatMapToInt(Arrays::stream)
                .max()
                .orElse(0);
        return highest > MAX_UNSIGNED_BYTE ? 2 : 1;
    }

    /** Returns the packed placement; fails if the bytes end early. */
    static int[][][] unpack(byte[] packed) {
        if (packed.length == 0) {
            return new int[0][][];
        }
        ByteBuffer bytes = ByteBuffer.wrap(packed);
        try {
            int width = bytes.get();
            int layers = Short.toUnsignedInt(bytes.getShort());
            int ranks = Short.toUnsignedInt(bytes.getShort());
            int[][][] placement = new int[layers][ranks][];
            for (int[][] layer : placement) {
                for (int rank = 0; rank < ranks; rank++) {
                    layer[rank] = new int[Byte.toUnsignedInt(bytes.get())];
                    for (int slot = 0; slot < layer[rank].length; slot++) {
                        layer[rank][slot] = expert(bytes, width);
                    }
                }
            }
            return placement;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("packed placement of " + packed.length + " bytes ends early", e);
        }
    }

    private static void putExpert(ByteBuffer bytes, int width, int expert) {
        if (width == 1) {
            bytes.put((byte) expert);
        } else {
            bytes.putShort((short) expert);
        }
    }

    private static int expert(ByteBuffer bytes, int width) {
        return width == 1 ? Byte.toUnsignedInt(bytes.get()) : Short.toUnsignedInt(bytes.getShort());
    }
}
