package org.cyclamenpaddle.relay.wire;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Parts of a prompt that other requests may have too, decoded when they are first needed.
 *
 * <p>Not thread-safe.
 */
public final class PromptParts {

    /** A request that declares no parts. */
    public static final PromptParts NONE = new PromptParts(List.of());

    /**
     * Maximum number of parts that are decoded. Callers choose the declaration, and decoding has to
     * stay cheap whatever it contains.
     */
    public static final int MAX_PARTS = 64;

    private static final String ENTRIES = ",";
    private static final String FIELDS = ":";

    private final List<String> mDeclarations;
    private List<String> mIds;

    /**
     * Creates parts.
     *
     * @param declarations entries in the order of the parts, separated by commas, each with the id
     *     of a part up to a colon
     */
    public PromptParts(List<String> declarations) {
        mDeclarations = declarations;
    }

    /**
     * Returns the ids of the parts in their order, without the last one, which belongs to the
     * request or its session.
     */
    public List<String> ids() {
        if (mIds == null) {
            mIds = decode();
        }
        return mIds;
    }

    private List<String> decode() {
        List<String> all =
                mDeclarations.stream().flatMap(PromptParts::ids).limit(MAX_PARTS + 1L).toList();
        return all.isEmpty() ? all : all.subList(0, all.size() - 1);
    }

    private static Stream<String> ids(String declaration) {
        return Arrays.stream(declaration.split(ENTRIES, MAX_PARTS + 2))
                .map(entry -> entry.split(FIELDS, 2)[0].strip().toLowerCase(Locale.ROOT))
                .filter(id -> !id.isEmpty());
    }
}
