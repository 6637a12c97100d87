/** Blackboard tables, each with its lock and its place in one stated lock order. */
package org.cyclamenpaddle.core.table;
