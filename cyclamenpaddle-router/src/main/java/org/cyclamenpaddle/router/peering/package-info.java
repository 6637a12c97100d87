/** Drives membership and passes peers' messages to the controllers they are for. */
package org.cyclamenpaddle.router.peering;
