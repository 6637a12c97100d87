/** Clock, identifiers, outcomes, invariants, blackboard tables and configuration kinds. */
package org.cyclamenpaddle.core;
