/**
 * State machines without I/O: membership, ownership, configuration replica, drain, recovery,
 * claims.
 */
package org.cyclamenpaddle.fleet;
