package org.cyclamenpaddle.relay.directive;

import java.util.List;
import java.util.OptionalDouble;

/**
 * Directives in force of one incarnation of a backend server, as this host has received them.
 *
 * <p>Responses can overtake each other. A limit is lifted only by a response to a request that was
 * sent after the limit had arrived; an older response without a limit has no effect. Not
 * thread-safe.
 */
public final class DirectiveState {

    private OptionalDouble mPerSecond = OptionalDouble.empty();
    private long mNamedMillis;

    /**
     * Applies the directives of a response.
     *
     * @param directives directives in its head
     * @param sentMillis time at which its request was sent
     * @param nowMillis current time of the steady clock
     * @return what has changed
     */
    public List<DirectiveChange> apply(Directives directives, long sentMillis, long nowMillis) {
        OptionalDouble named = directives.requestsPerSecond();
        if (named.isPresent()) {
            mNamedMillis = nowMillis;
            if (named.equals(mPerSecond)) {
                return List.of();
            }
            mPerSecond = named;
            return List.of(
                    new DirectiveChange(DirectiveKind.LIMIT, String.valueOf(named.getAsDouble())));
        }
        boolean lifted =
                mPerSecond.isPresent() && !directives.unreadable() && sentMillis >= mNamedMillis;
        if (!lifted) {
            return List.of();
        }
        mPerSecond = OptionalDouble.empty();
        return List.of(new DirectiveChange(DirectiveKind.LIMIT, DirectiveChange.NONE));
    }
}
