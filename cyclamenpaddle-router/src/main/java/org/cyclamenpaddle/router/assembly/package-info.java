/** Puts an entry host together, starts it and stops it gracefully. */
package org.cyclamenpaddle.router.assembly;
