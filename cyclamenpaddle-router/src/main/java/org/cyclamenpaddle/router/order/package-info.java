/** Orders to the engines that this host owns, so that each comes in line with the preset. */
package org.cyclamenpaddle.router.order;
