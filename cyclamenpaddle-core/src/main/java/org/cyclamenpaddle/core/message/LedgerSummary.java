package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * Summary of one backend server's ledger, published by its owner; a hint that is as old as the
 * heartbeat that carries it.
 *
 * @param backend the backend server
 * @param freeInMillis when a decode slot, or the prefill queue, is expected to be free, in
 *     milliseconds from now
 * @param freeSlots slots that are neither in use nor reserved
 * @param freePieces KV cache blocks that are neither in use nor reserved
 * @param reachable whether the owner can reach the backend server
 */
public record LedgerSummary(
        BackendId backend, long freeInMillis, int freeSlots, int freePieces, boolean reachable) {}
