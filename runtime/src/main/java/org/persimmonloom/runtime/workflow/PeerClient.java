package org.persimmonloom.runtime.workflow;

import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowState;

/**
 * HTTP client for requests to another entry host, which appends records and reads workflow states
 * for a host that cannot use the platform's log. Bodies are MessagePack. Safe for any thread.
 */
public final class PeerClient {
  /** Path to append records. */
  static final String APPEND_PATH = "/records";

  /** Path to append to the ownership table. */
  static final String OWNERSHIP_PATH = "/ownership";

  /** Path prefix of a workflow's state; the workflow's identifier follows. */
  static final String STATE_PATH = "/workflows/";

  /**
   * Header of the response that a workflow is unknown. Earlier versions do not send it; they answer
   * without a read of the log, which proves nothing.
   */
  static final String LOG_READ_HEADER = "Persimmonloom-Log-Read";

  /** Path to query the newest configuration that a host knows. */
  static final String CONFIGURATION_PATH = "/configuration";

  /** Query parameter: version that the querying host knows. */
  static final String VERSION_PARAMETER = "version";

  /** Query parameter: age in ms beyond which the queried host reads the log first. */
  static final String MAX_AGE_PARAMETER = "max_age_ms";

  /** Path to query whether a host would claim the ownership. */
  static final String CANDIDATE_PATH = "/candidate";

  private static final MediaType MESSAGE_PACK = MediaType.get("application/msgpack");
  private static final int CONNECT_TIMEOUT_MILLIS = 200;
  private static final int STATE_TIMEOUT_MILLIS = 500;
  private static final int OWNERSHIP_TIMEOUT_MILLIS = 400;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int NOT_WRITTEN = 503;

  private final Codec codec = new Codec(Map.of());
  private final OkHttpClient client;

  /** Request to append records through a peer. */
  record Records(List<TableRecord> records) {
    /** Copies the records, none of which may be null. */
    Records {
      records = List.copyOf(records);
    }

    boolean areStorable() {
      return records.stream().allMatch(TableRecord::hasStorableKey);
    }
  }

  /** Request to append a record to the ownership table if it ends at the expected offset. */
  record OwnershipAppend(long expectedEnd, TableRecord record) {
    /** The record may not be null. */
    OwnershipAppend {
      Objects.requireNonNull(record);
    }
  }

  /**
   * Result of an append to the ownership table.
   *
   * @param isAppended whether the record was appended; if not, the table ends elsewhere
   * @param end end of the table
   */
  record OwnershipAnswer(boolean isAppended, long end) {}

  /**
   * The newest configuration that a peer knows.
   *
   * @param ageMillis time for which it is known to be the newest one, in ms
   * @param offset offset of its record in the log
   * @param newer its record; empty if the version is not newer than that of the query
   */
  record Configuration(long ageMillis, long offset, List<TableRecord> newer) {
    /** Copies the records; an age below 0 would count as a later confirmation. */
    Configuration {
      newer = List.copyOf(newer);
      if (ageMillis < 0) {
        throw new IllegalArgumentException("age " + ageMillis);
      }
    }
  }

  /** State of a workflow in a peer's replica. */
  record State(WorkflowState state) {}

  /** Result of an append through a peer. */
  enum AppendAnswer {
    WRITTEN,
    NOT_WRITTEN,
    UNKNOWN
  }

  /**
   * Result of a state query; answered without a state if the peer has read the log up to its end
   * since the query and found no such workflow.
   */
  record StateAnswer(boolean isAnswered, Optional<WorkflowState> state) {}

  public PeerClient(OkHttpClient base) {
    client =
        base.newBuilder().connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).build();
  }

  AppendAnswer append(String address, List<TableRecord> records, long timeoutMillis) {
    RequestBody body = RequestBody.create(codec.encode(new Records(records)), MESSAGE_PACK);
    Request request =
        new Request.Builder().url("http://" + address + APPEND_PATH).post(body).build();
    var call = client.newCall(request);
    call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      return switch (response.code()) {
        case OK -> AppendAnswer.WRITTEN;
        case NOT_WRITTEN -> AppendAnswer.NOT_WRITTEN;
        default -> AppendAnswer.UNKNOWN;
      };
    } catch (ConnectException e) {
      return AppendAnswer.NOT_WRITTEN;
    } catch (IOException e) {
      return AppendAnswer.UNKNOWN;
    }
  }

  /** Appends a record to the ownership table through the host at the address. */
  AppendResult appendOwnership(String address, long expectedEnd, TableRecord record) {
    byte[] content = codec.encode(new OwnershipAppend(expectedEnd, record));
    Request request =
        new Request.Builder()
            .url("http://" + address + OWNERSHIP_PATH)
            .post(RequestBody.create(content, MESSAGE_PACK))
            .build();
    var call = client.newCall(request);
    call.timeout().timeout(OWNERSHIP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      if (response.code() == NOT_WRITTEN) {
        return new AppendResult.Refused("status " + NOT_WRITTEN + " of " + address);
      }
      if (response.code() != OK) {
        return new AppendResult.Unknown("status " + response.code() + " of " + address);
      }
      return codec
          .decode(response.body().bytes(), OwnershipAnswer.class)
          .map(PeerClient::appendResult)
          .getOrElseGet(failure -> new AppendResult.Unknown("malformed answer of " + address));
    } catch (ConnectException e) {
      return new AppendResult.Refused("no connection to " + address);
    } catch (IOException e) {
      return new AppendResult.Unknown("no answer of " + address);
    }
  }

  private static AppendResult appendResult(OwnershipAnswer answer) {
    return answer.isAppended()
        ? new AppendResult.Appended(answer.end() - 1, answer.end())
        : new AppendResult.Conflict(answer.end());
  }

  StateAnswer state(String address, String workflow) {
    try (Response response = get(address, STATE_PATH + workflow)) {
      if (response.code() == NOT_FOUND && response.header(LOG_READ_HEADER) != null) {
        return new StateAnswer(true, Optional.empty());
      }
      if (response.code() != OK) {
        return new StateAnswer(false, Optional.empty());
      }
      return codec
          .decode(response.body().bytes(), State.class)
          .map(answer -> new StateAnswer(true, Optional.of(answer.state())))
          .getOrElse(new StateAnswer(false, Optional.empty()));
    } catch (IOException e) {
      return new StateAnswer(false, Optional.empty());
    }
  }

  /** Returns the newest configuration that a peer knows; empty if there is no usable answer. */
  Optional<Configuration> configuration(String address, long version, long maxAgeMillis) {
    String query =
        "?%s=%d&%s=%d".formatted(VERSION_PARAMETER, version, MAX_AGE_PARAMETER, maxAgeMillis);
    try (Response response = get(address, CONFIGURATION_PATH + query)) {
      return response.code() == OK
          ? codec.decode(response.body().bytes(), Configuration.class).toJavaOptional()
          : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns whether the host at the address would claim the ownership if there were no owner; false
   * if the query fails.
   */
  boolean mayClaim(String address) {
    try (Response response = get(address, CANDIDATE_PATH)) {
      return response.code() == OK;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a query, which must be answered within the time of a state query. */
  private Response get(String address, String pathAndQuery) throws IOException {
    Request request = new Request.Builder().url("http://" + address + pathAndQuery).build();
    var call = client.newCall(request);
    call.timeout().timeout(STATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    return call.execute();
  }
}
