/** Estimates learned from completed requests. */
package org.cyclamenpaddle.routing.expect;
