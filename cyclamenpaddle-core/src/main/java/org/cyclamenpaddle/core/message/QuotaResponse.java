package org.cyclamenpaddle.core.message;

import java.util.List;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * Response of a shard's owner to a {@link QuotaRequest}.
 *
 * @param primary whether the responding host is the primary owner in its own view; only then are
 *     the reported rates acknowledged
 * @param grants one entry for each team of the request
 */
public record QuotaResponse(boolean primary, List<Grant> grants) implements PeerMessage {

    public QuotaResponse {
        grants = List.copyOf(grants);
    }

    /**
     * Units lent to a host.
     *
     * @param team the team
     * @param units units lent, in all
     * @param retryMillis time after which requests that got none are likely to be admitted, in
     *     milliseconds
     */
    public record Grant(TeamName team, long units, long retryMillis) {

        public Grant {
            if (team == null || units < 0 || retryMillis < 0) {
                throw new IllegalArgumentException(
                        "grant needs a team, units and a retry time of 0 or more");
            }
        }
    }
}
