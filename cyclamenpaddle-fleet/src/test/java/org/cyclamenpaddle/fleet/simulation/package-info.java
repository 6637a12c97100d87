/** Seeded random runs of each state machine over small fakes, in virtual time. */
package org.cyclamenpaddle.fleet.simulation;
