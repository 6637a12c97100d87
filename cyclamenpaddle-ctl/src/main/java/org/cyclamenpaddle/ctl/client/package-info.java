/** Client of the operators' API with failover between entry hosts. */
package org.cyclamenpaddle.ctl.client;
