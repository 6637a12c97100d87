/** Which engines prefill and which decode: the plan, the lease on giving orders, the orders. */
package org.cyclamenpaddle.relay.role;
