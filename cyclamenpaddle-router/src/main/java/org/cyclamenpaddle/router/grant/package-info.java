/** Ledgers of the backend servers that this host owns, and asks to other owners. */
package org.cyclamenpaddle.router.grant;
