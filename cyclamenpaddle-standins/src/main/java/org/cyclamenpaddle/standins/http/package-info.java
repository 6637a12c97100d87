/** HTTP plumbing that the stand-ins share. */
package org.cyclamenpaddle.standins.http;
