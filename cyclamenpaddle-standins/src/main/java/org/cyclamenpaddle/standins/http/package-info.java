/** HTTP server and response support shared by the stand-ins. */
package org.cyclamenpaddle.standins.http;
