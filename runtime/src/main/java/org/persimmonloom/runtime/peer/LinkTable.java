package org.persimmonloom.runtime.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * The connections of a mesh, at most one in use per peer.
 *
 * <p>Both sides may dial at the same time. Of two connections between the same hosts the one
 * dialled by the host with the smaller name stays, and only that host closes the other, so that
 * never both are closed. Confined to the thread of the mesh; times are of a steady clock.
 */
final class LinkTable {
  /** Head start of the host with the smaller name, so that a pair seldom dials twice. */
  private static final long LARGER_NAME_DELAY_MILLIS = 1_000;

  /** A connection that missed two heartbeats gives way to a new one of the same peer. */
  private static final long DOUBTFUL_MILLIS = 2 * PeerMesh.HEARTBEAT_MILLIS;

  /** How long a peer outside the mesh is dialled again after the last question to it. */
  private static final long ON_DEMAND_MILLIS = 60_000;

  private static final int MAX_LINKS = 256;
  private static final int MAX_UNSENT = 256;

  private final EntrySettings settings;
  private final MeshDelegate delegate;
  private final PeerQuestions questions;
  private final PeerMetrics metrics;
  private final DialSchedule schedule = new DialSchedule(ThreadLocalRandom.current());
  private final Set<PeerLink> all = new HashSet<>();
  private final TreeMap<String, PeerLink> byName = new TreeMap<>();
  private final Map<String, Long> onDemandUntil = new HashMap<>();
  private final Map<String, ArrayDeque<Unsent>> unsent = new HashMap<>();
  private Selector selector;

  private record Unsent(long questionId, ByteBuffer frame) {}

  LinkTable(
      EntrySettings settings, MeshDelegate delegate, PeerQuestions questions, PeerMetrics metrics) {
    this.settings = settings;
    this.delegate = delegate;
    this.questions = questions;
    this.metrics = metrics;
  }

  void open(Selector openSelector) {
    selector = openSelector;
  }

  /** Returns the connections in use, sorted by the peer's name. */
  Collection<PeerLink> named() {
    return byName.values();
  }

  void accepted(SocketChannel channel, long nowMillis) throws IOException {
    if (all.size() >= MAX_LINKS) {
      channel.close();
      return;
    }
    PeerLink link = register(channel, SelectionKey.OP_READ, null, nowMillis);
    greet(link, nowMillis);
  }

  private PeerLink register(SocketChannel channel, int operations, String target, long nowMillis)
      throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    SelectionKey key = channel.register(selector, operations);
    PeerLink link = new PeerLink(channel, key, target, nowMillis);
    key.attach(link);
    all.add(link);
    return link;
  }

  private void greet(PeerLink link, long nowMillis) {
    PeerMessage.Hello hello = new PeerMessage.Hello(settings.name(), ownAddress());
    send(link, FrameDecoder.frame(hello).get(), nowMillis);
  }

  private String ownAddress() {
    return text(settings.peerAddress());
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /** Takes in a hello; returns whether the connection is now the one in use for its peer. */
  boolean introduced(PeerLink link, PeerMessage.Hello hello, long nowMillis) {
    if (hello.name().equals(settings.name())) {
      if (link.isDialled()) {
        schedule.isOwn(link.dialTarget(), nowMillis);
      }
      close(link, "connected to itself", nowMillis);
      return false;
    }
    link.introduce(hello);
    if (link.isDialled()) {
      schedule.succeeded(link.dialTarget(), nowMillis);
    }
    PeerLink known = byName.get(hello.name());
    if (known != null && known != link && !replaces(link, known, nowMillis)) {
      if (isSmaller(hello.name())) {
        close(link, "duplicate connection", nowMillis);
      }
      return false;
    }
    byName.put(hello.name(), link);
    if (known != null && known != link) {
      boolean isOursToClose = known.isDialled() == link.isDialled() || isSmaller(hello.name());
      if (isOursToClose) {
        close(known, "replaced by a new connection", nowMillis);
      }
    }
    sendWaiting(link, nowMillis);
    return true;
  }

  private boolean replaces(PeerLink link, PeerLink known, long nowMillis) {
    return known.isDialled() == link.isDialled()
        || known.silentMillis(nowMillis) > DOUBTFUL_MILLIS
        || link.isDialled() == isSmaller(link.peerName());
  }

  private boolean isSmaller(String peer) {
    return settings.name().compareTo(peer) < 0;
  }

  private void sendWaiting(PeerLink link, long nowMillis) {
    ArrayDeque<Unsent> waiting = unsent.remove(link.peerName());
    if (waiting != null) {
      waiting.forEach(entry -> sendQuestion(link, entry, nowMillis));
    }
  }

  /** Sends a question, dialling the peer first if there is no connection. */
  void deliver(String peer, long questionId, ByteBuffer frame, long nowMillis) {
    Unsent entry = new Unsent(questionId, frame);
    PeerLink link = byName.get(peer);
    String address = delegate.addresses().get(peer);
    if (link != null) {
      onDemandUntil.computeIfPresent(peer, (key, until) -> nowMillis + ON_DEMAND_MILLIS);
      sendQuestion(link, entry, nowMillis);
      return;
    }
    ArrayDeque<Unsent> waiting = unsent.computeIfAbsent(peer, key -> new ArrayDeque<>());
    if (address == null || waiting.size() >= MAX_UNSENT) {
      questions.fail(questionId, address == null ? "not registered" : "too many questions wait");
      return;
    }
    waiting.add(entry);
    onDemandUntil.put(peer, nowMillis + ON_DEMAND_MILLIS);
    schedule.hasten(address);
    dial(address, nowMillis);
  }

  private void sendQuestion(PeerLink link, Unsent entry, long nowMillis) {
    if (!send(link, entry.frame(), nowMillis)) {
      questions.fail(entry.questionId(), "the connection does not take the question");
    }
  }

  /** Queues a frame on an open connection; returns false if it was not taken. */
  boolean send(PeerLink link, ByteBuffer frame, long nowMillis) {
    if (!link.isOpen()) {
      return false;
    }
    try {
      boolean isTaken = link.send(frame);
      if (!isTaken) {
        metrics.refusedSends.inc();
      }
      return isTaken;
    } catch (IOException e) {
      close(link, String.valueOf(e.getMessage()), nowMillis);
      return false;
    }
  }

  /** Dials the wanted peers and the seeds that have no connection and are due. */
  void dialDue(long nowMillis) {
    Map<String, String> addresses = delegate.addresses();
    onDemandUntil.values().removeIf(until -> until < nowMillis);
    Set<String> wanted = new HashSet<>(delegate.wantedPeers());
    wanted.addAll(onDemandUntil.keySet());
    for (String peer : wanted) {
      String address = addresses.get(peer);
      if (address != null && !byName.containsKey(peer)) {
        if (!isSmaller(peer) && !onDemandUntil.containsKey(peer)) {
          schedule.postpone(address, LARGER_NAME_DELAY_MILLIS, nowMillis);
        }
        dial(address, nowMillis);
      }
    }
    for (InetSocketAddress seed : settings.seeds()) {
      dial(text(seed), nowMillis);
    }
  }

  private void dial(String address, long nowMillis) {
    boolean isConnected =
        all.stream()
            .anyMatch(
                link -> address.equals(link.dialTarget()) || address.equals(link.peerAddress()));
    if (isConnected || address.equals(ownAddress()) || !schedule.isDue(address, nowMillis)) {
      return;
    }
    PeerLink link = null;
    try {
      int colon = address.lastIndexOf(':');
      SocketChannel channel = SocketChannel.open();
      link = register(channel, SelectionKey.OP_CONNECT, address, nowMillis);
      boolean isOpen =
          channel.connect(
              new InetSocketAddress(
                  address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
      if (isOpen) {
        link.finishConnect();
      }
      greet(link, nowMillis);
    } catch (IOException | RuntimeException e) {
      if (link == null) {
        metrics.failedDials.inc();
        schedule.failed(address, nowMillis);
      } else {
        close(link, String.valueOf(e.getMessage()), nowMillis);
      }
    }
  }

  void closeSilent(long limitMillis, long nowMillis) {
    for (PeerLink link : List.copyOf(all)) {
      if (link.silentMillis(nowMillis) > limitMillis) {
        metrics.closedSilent.inc();
        close(link, "silent", nowMillis);
      }
    }
  }

  /** Closes a connection; the questions to its peer fail if it was the one in use. */
  void close(PeerLink link, String reason, long nowMillis) {
    link.close();
    if (!all.remove(link)) {
      return;
    }
    if (link.peerName() == null) {
      if (link.isDialled()) {
        metrics.failedDials.inc();
        schedule.failed(link.dialTarget(), nowMillis);
        failUnsent(link.dialTarget(), reason);
      }
    } else if (byName.remove(link.peerName(), link)) {
      questions.failAll(link.peerName(), reason);
    }
  }

  private void failUnsent(String address, String reason) {
    for (Map.Entry<String, String> peer : delegate.addresses().entrySet()) {
      if (peer.getValue().equals(address) && unsent.remove(peer.getKey()) != null) {
        questions.failAll(peer.getKey(), reason);
      }
    }
  }

  void closeAll() {
    List.copyOf(all).forEach(PeerLink::close);
    all.clear();
    byName.clear();
  }
}
