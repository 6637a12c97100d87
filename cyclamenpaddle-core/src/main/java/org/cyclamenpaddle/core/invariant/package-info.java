/** Assertions of internal invariants; only a violated invariant stops the process. */
package org.cyclamenpaddle.core.invariant;
