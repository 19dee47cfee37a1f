package org.persimmonloom.runtime.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * The connections between entry hosts: one thread with a selector reads, writes, dials and sends
 * heartbeats; handlers of questions run on threads of their own, so that a slow handler delays no
 * heartbeat. {@link #ask} and {@link #handle} are safe for any thread.
 */
@Singleton
public final class PeerMesh implements PeerChannel {
  static final long HEARTBEAT_MILLIS = 500;

  /** A connection without a frame for this long is closed: it may be silent for good. */
  static final long SILENT_MILLIS = 2_000;

  private static final Logger LOGGER = LogManager.getLogger(PeerMesh.class);
  private static final long SELECT_MILLIS = 50;
  private static final int HANDLER_THREADS = 2;
  private static final int MAX_WAITING_QUESTIONS = 1_024;

  private final EntrySettings settings;
  private final InstantSource clock;
  private final PeerMetrics metrics;
  private final MeshDelegate delegate;
  private final PeerQuestions questions = new PeerQuestions();
  private final LinkTable links;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final ExecutorService handlers =
      new ThreadPoolExecutor(
          HANDLER_THREADS,
          HANDLER_THREADS,
          0,
          TimeUnit.MILLISECONDS,
          new ArrayBlockingQueue<>(MAX_WAITING_QUESTIONS),
          task -> daemon(task, "peer-handler"));
  private final ByteBuffer buffer = PeerLink.readBuffer();
  private Thread thread;
  private Selector selector;
  private ServerSocketChannel server;
  private volatile boolean stopped;
  private long nextBeatMillis;
  private boolean isHealthy = true;

  @Inject
  public PeerMesh(
      EntrySettings settings, InstantSource clock, PeerMetrics metrics, ClusterService cluster) {
    this(settings, clock, metrics, (MeshDelegate) cluster);
  }

  PeerMesh(
      EntrySettings settings, InstantSource clock, PeerMetrics metrics, MeshDelegate delegate) {
    this.settings = settings;
    this.clock = clock;
    this.metrics = metrics;
    this.delegate = delegate;
    this.links = new LinkTable(settings, delegate, questions, metrics);
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Starts listening at the peer address and dialling peers. */
  public void start() throws IOException {
    selector = Selector.open();
    server = ServerSocketChannel.open();
    server.bind(settings.peerAddress());
    server.configureBlocking(false);
    server.register(selector, SelectionKey.OP_ACCEPT);
    links.open(selector);
    thread = daemon(this::run, "peer-mesh");
    thread.start();
  }

  /** Closes all connections and waits for the thread to end. Questions that wait fail. */
  public void stop() throws InterruptedException {
    stopped = true;
    if (thread != null) {
      selector.wakeup();
      thread.join();
    }
    handlers.shutdownNow();
    questions.failAll("this host is stopping");
  }

  @Override
  public CompletableFuture<byte[]> ask(
      String peer, String kind, byte[] question, long timeoutMillis) {
    PeerQuestions.Opened opened = questions.open(peer, kind, question, timeoutMillis);
    long id = opened.question().id();
    Either<Failure, ByteBuffer> frame = FrameDecoder.frame(opened.question());
    if (frame.isLeft()) {
      questions.fail(id, frame.getLeft().detail());
    } else if (stopped) {
      questions.fail(id, "this host is stopping");
    } else {
      post(() -> links.deliver(peer, id, frame.get(), steadyMillis()));
    }
    return opened.future();
  }

  @Override
  public void handle(String kind, BiFunction<String, byte[], CompletableFuture<byte[]>> handler) {
    questions.handle(kind, handler);
  }

  private void post(Runnable task) {
    tasks.add(task);
    if (selector != null) {
      selector.wakeup();
    }
  }

  private static long steadyMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private void run() {
    while (!stopped) {
      try {
        selector.select(SELECT_MILLIS);
        runTasks();
        processKeys();
        long nowMillis = steadyMillis();
        links.closeSilent(SILENT_MILLIS, nowMillis);
        if (nowMillis >= nextBeatMillis) {
          nextBeatMillis = nowMillis + HEARTBEAT_MILLIS;
          beat(nowMillis);
        }
        isHealthy = true;
      } catch (IOException | RuntimeException e) {
        noteError(e);
      }
    }
    links.closeAll();
    closeServer();
  }

  private void noteError(Exception e) {
    metrics.errors.inc();
    if (isHealthy) {
      LOGGER.error("error in the thread of the peer mesh", e);
    }
    isHealthy = false;
  }

  private void closeServer() {
    try {
      server.close();
      selector.close();
    } catch (IOException e) {
      LOGGER.warn("peer listener failed to close: {}", e.getMessage());
    }
  }

  private void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
  }

  private void processKeys() throws IOException {
    Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
    while (keys.hasNext()) {
      SelectionKey key = keys.next();
      keys.remove();
      if (!key.isValid()) {
        continue;
      }
      if (key.isAcceptable()) {
        accept();
      } else {
        process(key, (PeerLink) key.attachment());
      }
    }
  }

  private void accept() throws IOException {
    SocketChannel channel = server.accept();
    if (channel != null) {
      links.accepted(channel, steadyMillis());
    }
  }

  private void process(SelectionKey key, PeerLink link) {
    long nowMillis = steadyMillis();
    try {
      if (key.isConnectable()) {
        link.finishConnect();
      }
      if (key.isReadable()) {
        for (PeerMessage message : link.read(buffer, nowMillis)) {
          receive(link, message, nowMillis);
        }
      }
      if (key.isValid() && key.isWritable()) {
        link.flush();
      }
    } catch (PeerLink.MalformedFrameException e) {
      metrics.malformedFrames.inc();
      links.close(link, e.getMessage(), nowMillis);
    } catch (IOException e) {
      links.close(link, String.valueOf(e.getMessage()), nowMillis);
    }
  }

  private void receive(PeerLink link, PeerMessage message, long nowMillis) throws IOException {
    if (!link.isOpen()) {
      return;
    }
    if (message instanceof PeerMessage.Hello hello) {
      if (links.introduced(link, hello, nowMillis)) {
        sendBeat(link, clock.millis());
      }
    } else if (link.peerName() == null) {
      links.close(link, "a message before hello", nowMillis);
    } else if (message instanceof PeerMessage.Beat beat) {
      receiveBeat(link, beat);
    } else if (message instanceof PeerMessage.Question question) {
      dispatch(link, question, nowMillis);
    } else if (message instanceof PeerMessage.Answer answer) {
      questions.answered(link.peerName(), answer);
    }
  }

  private void dispatch(PeerLink link, PeerMessage.Question question, long nowMillis) {
    try {
      handlers.execute(() -> answer(link, question));
    } catch (RejectedExecutionException e) {
      PeerMessage.Answer busy = PeerQuestions.error(question, "too many questions wait");
      links.send(link, FrameDecoder.frame(busy).get(), nowMillis);
    }
  }

  private void receiveBeat(PeerLink link, PeerMessage.Beat beat) {
    link.setPeerSentMillis(beat.sentMillis());
    long aliveMillis = beat.echoMillis();
    boolean isUsable =
        aliveMillis > 0
            && aliveMillis <= clock.millis()
            && beat.heartbeat().name().equals(link.peerName());
    if (!isUsable) {
      return;
    }
    delegate.heard(beat.heartbeat(), aliveMillis, true);
    for (PeerMessage.Relayed relayed : beat.relayed()) {
      delegate.heard(relayed.heartbeat(), aliveMillis - relayed.agoMillis(), false);
    }
  }

  private void answer(PeerLink link, PeerMessage.Question question) {
    String peer = link.peerName();
    questions
        .answer(peer, question)
        .thenAccept(
            answer -> {
              ByteBuffer frame =
                  FrameDecoder.frame(answer)
                      .getOrElseGet(
                          failure ->
                              FrameDecoder.frame(PeerQuestions.error(question, failure.detail()))
                                  .get());
              post(() -> links.send(link, frame, steadyMillis()));
            });
  }

  private void beat(long steadyNowMillis) {
    long nowMillis = clock.millis();
    delegate.tick(nowMillis);
    links.dialDue(steadyNowMillis);
    for (PeerLink link : List.copyOf(links.named())) {
      sendBeat(link, nowMillis);
    }
    metrics.connections.set(links.named().size());
  }

  private void sendBeat(PeerLink link, long nowMillis) {
    PeerMessage.Beat beat =
        new PeerMessage.Beat(
            nowMillis,
            link.peerSentMillis(),
            delegate.heartbeat(nowMillis),
            delegate.relayedTo(link.peerName(), nowMillis));
    Either<Failure, ByteBuffer> frame = FrameDecoder.frame(beat);
    if (frame.isRight()) {
      metrics.heartbeatBytes.inc(frame.get().remaining());
      links.send(link, frame.get(), steadyMillis());
    }
  }
}
