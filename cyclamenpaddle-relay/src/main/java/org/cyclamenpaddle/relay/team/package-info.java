/** Teams of callers, the API keys that identify them, and their quotas as configured. */
package org.cyclamenpaddle.relay.team;
