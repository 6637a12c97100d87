package org.cyclamenpaddle.core.message;

/** A message about requests under which backend servers have ended. */
public sealed interface CrashMessage extends PeerMessage
        permits StrikeNotice,
                PartStrikeNotice,
                PartRunNotice,
                PartTrackingNotice,
                PartQuarantineNotice {}
