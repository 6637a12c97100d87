/** Assembles an entry host, starts it and shuts it down gracefully. */
package org.cyclamenpaddle.router.assembly;
