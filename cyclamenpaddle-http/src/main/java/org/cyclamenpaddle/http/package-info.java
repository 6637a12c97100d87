/** What all HTTP clients of the project have in common. */
package org.cyclamenpaddle.http;
