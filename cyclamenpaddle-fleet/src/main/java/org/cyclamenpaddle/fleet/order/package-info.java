/** Orders to engines, which reconcile each engine with the preset in force. */
package org.cyclamenpaddle.fleet.order;
