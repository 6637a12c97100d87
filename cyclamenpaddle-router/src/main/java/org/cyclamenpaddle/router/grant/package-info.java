/** Ledgers of the backend servers that this host owns, and grant requests to other owners. */
package org.cyclamenpaddle.router.grant;
