package org.persimmonloom.runtime.peer;

import java.util.List;
import java.util.Map;
import org.persimmonloom.core.member.Heartbeat;

/** What the mesh asks and tells its owner, always on the thread of the mesh. Must not block. */
interface MeshDelegate {
  /** Called every 500 ms, before heartbeats are sent. */
  void tick(long nowMillis);

  /** Returns the heartbeat to send now. */
  Heartbeat heartbeat(long nowMillis);

  /** Returns the heartbeats of third hosts to send to a peer; empty in a full mesh. */
  List<PeerMessage.Relayed> relayedTo(String peer, long nowMillis);

  /**
   * Takes in a heartbeat.
   *
   * @param heardMillis moment of the own clock at which the sender was alive
   * @param isDirect whether it came from the sender itself
   */
  void heard(Heartbeat heartbeat, long heardMillis, boolean isDirect);

  /** Returns the addresses ({@code ip:port}) of all registered peers by name, without this host. */
  Map<String, String> addresses();

  /** Returns the peers to keep connections to. */
  List<String> wantedPeers();
}
