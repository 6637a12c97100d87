/** Shared state tables, each guarded by a lock with a fixed position in the global lock order. */
package org.cyclamenpaddle.core.table;
