/**
 * Assignment of engines to prefill and decode: the allocation, the lease on issuing orders, the
 * orders.
 */
package org.cyclamenpaddle.relay.role;
