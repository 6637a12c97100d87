/** Ledger of the grants of one backend server, maintained by the host that owns it. */
package org.cyclamenpaddle.routing.grant;
