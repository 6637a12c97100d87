/**
 * Limits that all hosts share, quotas of teams and limits of backend servers: borrowing, lending,
 * and the messages between hosts.
 */
package org.cyclamenpaddle.relay.quota;
