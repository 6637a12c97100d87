/**
 * Offline comparison of placement strategies: the product's decisions over a simple timing model of
 * engines, with a virtual clock and seeded random numbers.
 *
 * <p>Its figures are those of a model run and do not describe any network or machine.
 */
package org.cyclamenpaddle.routing.experiment;
