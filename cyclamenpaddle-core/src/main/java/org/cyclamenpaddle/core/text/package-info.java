/** Text of prompts: token estimates and hashes of prompt blocks. */
package org.cyclamenpaddle.core.text;
