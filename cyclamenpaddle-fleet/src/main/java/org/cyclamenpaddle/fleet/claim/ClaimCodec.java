package org.cyclamenpaddle.fleet.claim;

import io.vavr.control.Either;

/** Turns a shard's claims into the text that the platform keeps, and back. */
public interface ClaimCodec {

    /** Returns the text of a shard. */
    String encode(ClaimDocument document);

    /**
     * Returns the length of one claim's part of the text, in characters.
     *
     * @param claim the claim
     */
    int length(ClaimRecord claim);

    /** Returns the shard of a text, or what is wrong with the text. */
    Either<String, ClaimDocument> decode(String text);
}
