package org.cyclamenpaddle.core.message;

/** A message from one entry host to another. */
public sealed interface PeerMessage
        permits ClaimAnswer,
                ClaimAsk,
                ConfigurationAnswer,
                ConfigurationAsk,
                GrantAnswer,
                GrantAsk,
                GrantEnd,
                GrantRegister,
                Heartbeat,
                Hello,
                ProbeAnswer,
                ProbeAsk,
                StrikeNotice {}
