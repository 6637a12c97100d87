/** Planned stops of entry hosts, and drains of backend servers. */
package org.cyclamenpaddle.fleet.drain;
