/** The tables that controllers of an entry host read and write; see {@code TableOrder}. */
package org.cyclamenpaddle.router.blackboard;
