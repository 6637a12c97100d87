/** Invariants asserted inside the program; only a broken one stops the process. */
package org.cyclamenpaddle.core.invariant;
