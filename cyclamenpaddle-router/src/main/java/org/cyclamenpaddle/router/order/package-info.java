/** Sends orders to the engines that this host owns, to reconcile them with the preset in force. */
package org.cyclamenpaddle.router.order;
