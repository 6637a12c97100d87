package org.cyclamenpaddle.routing.quarantine;

/**
 * Number of runs that were lost or ended well at a time.
 *
 * @param millis clock reading
 * @param runs number of runs
 */
record RunCount(long millis, int runs) {}
