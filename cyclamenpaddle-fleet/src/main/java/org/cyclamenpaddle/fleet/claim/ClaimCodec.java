package org.cyclamenpaddle.fleet.claim;

import io.vavr.control.Either;

/** Codec between a shard's claims and the text stored in the platform. */
public interface ClaimCodec {

    /** Encodes a shard. */
    String encode(ClaimDocument document);

    /**
     * Returns the encoded length of one claim, in characters.
     *
     * @param claim the claim
     */
    int length(ClaimRecord claim);

    /** Decodes a shard, or returns a description of the error. */
    Either<String, ClaimDocument> decode(String text);
}
