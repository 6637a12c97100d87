/** Membership of entry hosts: heartbeats, failure detection and gossip. */
package org.cyclamenpaddle.fleet.membership;
