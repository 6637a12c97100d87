/** What backend servers ask of their callers in their responses, and how this host follows it. */
package org.cyclamenpaddle.relay.directive;
