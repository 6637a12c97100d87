/** Choice of prefill and decode backend servers for a request. */
package org.cyclamenpaddle.routing.placement;
