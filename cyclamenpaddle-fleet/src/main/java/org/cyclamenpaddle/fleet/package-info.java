/** Pure state machines: membership, ownership, configuration replica, drain, recovery, claims. */
package org.cyclamenpaddle.fleet;
