/** Rendezvous hashing, which assigns ledgers and platform watches to hosts. */
package org.cyclamenpaddle.fleet.ownership;
