/** TCP frames with MessagePack between entry hosts. */
package org.cyclamenpaddle.peer;
