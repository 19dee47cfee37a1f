package org.persimmonloom.runtime.log;

import java.net.InetSocketAddress;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.runtime.settings.EntrySettings;

/** Makes the proposal that registers an entry host or renews its registration. Stateless. */
final class Registrations {
  private Registrations() {}

  static EntryHostSeen of(EntrySettings settings) {
    return new EntryHostSeen(
        text(settings.peerAddress()), text(settings.operatorAddress()), settings.dataCentre());
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
