/** Drives membership and dispatches peers' messages to the controllers that handle them. */
package org.cyclamenpaddle.router.peering;
