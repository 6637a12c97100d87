/** Membership: heartbeats, suspicion, confirmation and gossip between entry hosts. */
package org.cyclamenpaddle.fleet.membership;
