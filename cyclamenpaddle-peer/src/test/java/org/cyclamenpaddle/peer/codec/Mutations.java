package org.cyclamenpaddle.peer.codec;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/** Applies random mutations to bytes. */
public final class Mutations {

    private static final int MAX_MUTATIONS = 4;

    private Mutations() {}

    /**
     * Returns a copy with one to four mutations: a byte changed or inserted, or the rest truncated.
     */
    public static byte[] mutate(byte[] bytes, UniformRandomProvider random) {
        byte[] mutant = bytes.clone();
        int count = 1 + random.nextInt(MAX_MUTATIONS);
        for (int i = 0; i < count && mutant.length > 0; i++) {
            mutant = mutateOnce(mutant, random);
        }
        return mutant;
    }

    private static byte[] mutateOnce(byte[] bytes, UniformRandomProvider random) {
        int index = random.nextInt(bytes.length);
        switch (random.nextInt(8)) {
            case 0:
                return Arrays.copyOf(bytes, index);
            case 1:
                byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
                System.arraycopy(bytes, index, longer, index + 1, bytes.length - index);
                return longer;
            case 2:
                bytes[index] = (byte) random.nextInt();
                return bytes;
            default:
                bytes[index] ^= (byte) (1 << random.nextInt(Byte.SIZE));
                return bytes;
        }
    }
}
