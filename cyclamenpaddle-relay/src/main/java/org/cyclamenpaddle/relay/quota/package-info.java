/** Quotas of teams, shared by all hosts: borrowing, lending, and the messages between hosts. */
package org.cyclamenpaddle.relay.quota;
