/**
 * Clocks, identifiers, outcomes, invariants, shared state tables, peer messages and configuration.
 */
package org.cyclamenpaddle.core;
