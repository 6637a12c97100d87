package org.cyclamenpaddle.peer.codec;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/** Seeded damage to bytes. */
public final class Mutations {

    private static final int MOST = 4;

    private Mutations() {}

    /** Returns a copy with one to four bytes changed, inserted, or cut off from somewhere on. */
    public static byte[] mutate(byte[] bytes, UniformRandomProvider random) {
        byte[] mutant = bytes.clone();
        int count = 1 + random.nextInt(MOST);
        for (int i = 0; i < count && mutant.length > 0; i++) {
            mutant = mutateOnce(mutant, random);
        }
        return mutant;
    }

    private static byte[] mutateOnce(byte[] bytes, UniformRandomProvider random) {
        int at = random.nextInt(bytes.length);
        switch (random.nextInt(8)) {
            case 0:
                return Arrays.copyOf(bytes, at);
            case 1:
                byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
                System.arraycopy(bytes, at, longer, at + 1, bytes.length - at);
                return longer;
            case 2:
                bytes[at] = (byte) random.nextInt();
                return bytes;
            default:
                bytes[at] ^= (byte) (1 << random.nextInt(Byte.SIZE));
                return bytes;
        }
    }
}
