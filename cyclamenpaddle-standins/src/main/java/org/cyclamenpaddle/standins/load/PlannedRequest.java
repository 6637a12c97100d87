package org.cyclamenpaddle.standins.load;

/**
 * Request of a run, generated before the run starts.
 *
 * @param atMicros time from the start of the run, in modelled microseconds
 * @param team team that sends the request
 * @param prompt prompt text
 */
record PlannedRequest(long atMicros, String team, String prompt) {}
