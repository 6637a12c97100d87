/** The ledger of grants of one backend server, kept by the host that owns it. */
package org.cyclamenpaddle.routing.grant;
