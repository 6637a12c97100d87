/** Client of the platform's lagging list of hosts. */
package org.cyclamenpaddle.store.hosts;
