/**
 * Limits on requests in progress by service and team, and quotas of teams over all hosts.
 *
 * <p>The quotas of all teams are divided into shards. Each shard has a primary owner among the
 * hosts, whose {@link org.cyclamenpaddle.routing.limit.QuotaShard} lends units to the {@link
 * org.cyclamenpaddle.routing.limit.QuotaBorrower} of each host. A host that cannot reach the
 * primary owner borrows from a deputy. So that both sides of a partition together stay within the
 * quota, a primary owner reserves for a silent host what that host may use meanwhile, and a deputy
 * lends no more than the entitlements of the hosts that report to it.
 */
package org.cyclamenpaddle.routing.limit;
