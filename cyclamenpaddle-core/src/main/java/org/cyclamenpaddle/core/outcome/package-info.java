/** Outcomes as values: refusal reasons, retry reasons and what became of a call. */
package org.cyclamenpaddle.core.outcome;
