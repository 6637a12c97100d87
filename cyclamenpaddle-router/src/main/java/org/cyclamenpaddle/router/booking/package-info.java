/** Calls of plain services: claims before dispatch, at most one run per key, retained responses. */
package org.cyclamenpaddle.router.booking;
