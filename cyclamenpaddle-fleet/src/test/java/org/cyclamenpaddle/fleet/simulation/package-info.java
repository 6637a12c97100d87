/**
 * Seeded randomized simulations of each state machine over small fakes, in virtual time.
 *
 * <p>{@code mvn verify -pl cyclamenpaddle-fleet -am -Dtest='*RunTest'
 * -Dsurefire.failIfNoSpecifiedTests=false -Dfleet.seed=7 -Dfleet.length=10} runs all of them with
 * one seed, ten times as long as in CI. {@code -Dtest=ScaleMeasurement} measures membership by
 * size.
 */
package org.cyclamenpaddle.fleet.simulation;
