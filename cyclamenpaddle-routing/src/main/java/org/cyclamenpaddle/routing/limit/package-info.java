/** Limits on requests in progress by service and team. */
package org.cyclamenpaddle.routing.limit;
