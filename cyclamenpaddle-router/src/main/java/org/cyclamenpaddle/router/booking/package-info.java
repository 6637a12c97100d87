/** Calls of plain services: claims before dispatch, at most one run by key, kept answers. */
package org.cyclamenpaddle.router.booking;
