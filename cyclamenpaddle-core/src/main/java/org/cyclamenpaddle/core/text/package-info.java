/** Prompt text: token estimates and block hashes. */
package org.cyclamenpaddle.core.text;
