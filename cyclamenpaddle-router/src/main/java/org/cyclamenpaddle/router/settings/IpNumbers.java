package org.cyclamenpaddle.router.settings;

import io.netty.util.NetUtil;

/** Checks of IP numbers that never ask a name service. */
final class IpNumbers {

    private IpNumbers() {}

    static boolean valid(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }
}
