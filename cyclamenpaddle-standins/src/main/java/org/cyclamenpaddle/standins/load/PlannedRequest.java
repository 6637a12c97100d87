package org.cyclamenpaddle.standins.load;

/**
 * One request of a run, planned before the run starts.
 *
 * @param atMicros time from the start of the run, in modelled microseconds
 * @param team team that sends it
 * @param prompt its prompt
 */
record PlannedRequest(long atMicros, String team, String prompt) {}
