package org.persimmonloom.runtime.worker;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.LeaseRules;
import org.persimmonloom.core.job.TaskReport;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.core.job.WorkerReport;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.wire.Codec;

/**
 * Client of the HTTP and JSON task interface of workers. Every call is idempotent, so callers may
 * repeat a call whose response was lost. Thread-safe; methods block.
 *
 * <p>The call timeout also closes connections on which the worker no longer responds.
 */
@Singleton
public final class WorkerClient {
  /** Longer than writing a checkpoint, shorter than a fifth of the lease renewal interval. */
  private static final long CALL_TIMEOUT_MILLIS = 2_000;

  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  /** One connection per owned worker: 4,200 workers divided among 8 entry hosts. */
  private static final int MAX_IDLE_CONNECTIONS = 525;

  private static final long IDLE_CONNECTION_MILLIS = 3 * LeaseRules.WORKER_RENEWAL_INTERVAL_MILLIS;
  private static final MediaType JSON = MediaType.get("application/json");

  private final Codec codec = new Codec(Map.of());
  private final OkHttpClient client;

  @Inject
  public WorkerClient(OkHttpClient client) {
    this.client =
        client
            .newBuilder()
            .retryOnConnectionFailure(false)
            .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .callTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .connectionPool(
                new ConnectionPool(
                    MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_MILLIS, TimeUnit.MILLISECONDS))
            .build();
  }

  /** Reads the worker's report; its clock reading is taken after this call began. */
  public WorkerReport readReport(String address) throws IOException {
    return call(request(address, "/tasks").build(), WorkerReport.class);
  }

  /** Starts the live attempt of {@code job}; has no effect if the worker already started it. */
  public TaskReport start(String address, Job job, WorkerReport report) throws IOException {
    StartRequest body =
        new StartRequest(
            job.live().boot(),
            report.clockMillis(),
            LeaseRules.WORKER_LEASE_MILLIS,
            job.live().placedOffset(),
            job.spec().service(),
            job.spec().kind(),
            job.live().size(),
            job.checkpoint());
    String path = "/tasks/" + job.name() + "/" + job.live().number();
    return call(request(address, path).put(json(body)).build(), TaskReport.class);
  }

  /** Renews the leases of several attempts. */
  public WorkerReport renew(String address, List<WorkerRenewed.Ref> attempts, WorkerReport report)
      throws IOException {
    RenewRequest body =
        new RenewRequest(
            report.boot(), report.clockMillis(), LeaseRules.WORKER_LEASE_MILLIS, attempts);
    return call(request(address, "/tasks/renew").post(json(body)).build(), WorkerReport.class);
  }

  /** Writes a checkpoint and returns a report that contains the checkpoint's name. */
  public TaskReport checkpoint(String address, WorkerRenewed.Ref ref, long boot)
      throws IOException {
    return updateTask(address, ref, "checkpoint", new TaskRequest(boot, 100));
  }

  /** Limits the task to {@code percent} of its processor share. */
  public TaskReport throttle(String address, WorkerRenewed.Ref ref, long boot, int percent)
      throws IOException {
    return updateTask(address, ref, "throttle", new TaskRequest(boot, percent));
  }

  /** Stops the task. A task unknown to the worker is rejected if a later call tries to start it. */
  public TaskReport stop(String address, WorkerRenewed.Ref ref, long boot) throws IOException {
    return updateTask(address, ref, "stop", new TaskRequest(boot, 100));
  }

  private TaskReport updateTask(
      String address, WorkerRenewed.Ref ref, String action, TaskRequest body) throws IOException {
    String path = "/tasks/" + ref.job() + "/" + ref.attempt() + "/" + action;
    return call(request(address, path).post(json(body)).build(), TaskReport.class);
  }

  private static Request.Builder request(String address, String path) {
    return new Request.Builder().url("http://" + address + path);
  }

  private RequestBody json(Object body) {
    return RequestBody.create(codec.toJson(body), JSON);
  }

  private <T> T call(Request request, Class<T> type) throws IOException {
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException(request.url() + " returned status " + response.code());
      }
      return codec
          .fromJson(response.body().string(), type)
          .getOrElseThrow((Failure failure) -> new IOException(failure.toString()));
    }
  }
}
