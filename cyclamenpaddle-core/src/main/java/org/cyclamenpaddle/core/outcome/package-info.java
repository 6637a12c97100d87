/** Outcome values: refusal reasons, retry reasons and the outcomes of calls. */
package org.cyclamenpaddle.core.outcome;
