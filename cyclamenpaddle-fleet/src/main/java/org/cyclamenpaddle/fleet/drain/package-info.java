/** Planned stop of entry hosts, and drain of backend servers. */
package org.cyclamenpaddle.fleet.drain;
