package org.cyclamenpaddle.router.settings;

import io.netty.util.NetUtil;

/** Validates literal IP addresses without a name lookup. */
final class IpAddresses {

    private IpAddresses() {}

    static boolean isValid(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }
}
