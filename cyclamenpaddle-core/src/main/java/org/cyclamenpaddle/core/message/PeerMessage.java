package org.cyclamenpaddle.core.message;

/** A message from one entry host to another. */
public sealed interface PeerMessage
        permits ClaimResponse,
                ClaimRequest,
                ConfigurationResponse,
                CrashMessage,
                ConfigurationRequest,
                GrantResponse,
                GrantRequest,
                GrantRelease,
                GrantRegister,
                Heartbeat,
                Hello,
                PermitRequest,
                PermitResponse,
                ProbeResponse,
                ProbeRequest,
                QuotaRequest,
                QuotaResponse,
                StoreAnswerRequest,
                StoreAnswerResponse,
                StreamNotice,
                StreamNoticeResponse,
                StreamRequest,
                StreamResponse {}
