/** Settings of a relay process. */
package org.cyclamenpaddle.relay.settings;
