/** Rendezvous hashing: which hosts own ledgers, watch the platform and stand in for others. */
package org.cyclamenpaddle.fleet.ownership;
