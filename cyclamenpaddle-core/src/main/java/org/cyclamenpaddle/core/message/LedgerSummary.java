package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * What an owner tells of one backend server's ledger; a hint, as old as the heartbeat.
 *
 * @param backend the backend server
 * @param freeInMillis when a decode slot, or the prefill queue, is expected to be free, from now
 * @param freeSlots slots neither held nor promised
 * @param freePieces memory pieces neither held nor promised
 * @param reachable whether the owner reaches the backend server
 */
public record LedgerSummary(
        BackendId backend, long freeInMillis, int freeSlots, int freePieces, boolean reachable) {}
