package org.cyclamenpaddle.routing.stream;

import java.util.Optional;
import org.cyclamenpaddle.core.id.SoftwareVersion;

/**
 * Software versions at which a request may run.
 *
 * <p>A stream may go on only at the version that began it, since what two versions write does not
 * fit together and backend servers do not check it. A beginning that is not known permits none.
 *
 * @param kind what binds the request
 * @param version the version that began its stream; empty unless that is known
 */
public record StreamBinding(Kind kind, Optional<SoftwareVersion> version) {

    /** What binds a request. */
    public enum Kind {
        /** Its caller has no event, so that any version may begin. */
        NONE {
            @Override
            boolean permits(Optional<SoftwareVersion> began, SoftwareVersion offered) {
                return true;
            }
        },
        /** Its caller has events of a known version. */
        VERSION {
            @Override
            boolean permits(Optional<SoftwareVersion> began, SoftwareVersion offered) {
                return began.filter(offered::equals).isPresent();
            }
        },
        /** Its caller has events, and it is not known of which version. */
        UNKNOWN {
            @Override
            boolean permits(Optional<SoftwareVersion> began, SoftwareVersion offered) {
                return false;
            }
        };

        abstract boolean permits(Optional<SoftwareVersion> began, SoftwareVersion offered);
    }

    /** Binding of a request that any version may run. */
    public static final StreamBinding ANY = new StreamBinding(Kind.NONE, Optional.empty());

    /** Binding of a stream whose beginning is not known. */
    public static final StreamBinding UNKNOWN = new StreamBinding(Kind.UNKNOWN, Optional.empty());

    public StreamBinding {
        if (kind == null || version.isPresent() != (kind == Kind.VERSION)) {
            throw new IllegalArgumentException("binding " + kind + " with version " + version);
        }
    }

    /** Returns the binding of a stream that a version has begun. */
    public static StreamBinding to(SoftwareVersion version) {
        return new StreamBinding(Kind.VERSION, Optional.of(version));
    }

    /** Returns the binding of a stream whose version may not be known. */
    public static StreamBinding to(Optional<SoftwareVersion> version) {
        return version.map(StreamBinding::to).orElse(UNKNOWN);
    }

    /** Returns whether a server of a version may run the request. */
    public boolean permits(SoftwareVersion offered) {
        return kind.permits(version, offered);
    }

    /** Returns whether only some servers may run the request, or none. */
    public boolean binds() {
        return kind != Kind.NONE;
    }
}
