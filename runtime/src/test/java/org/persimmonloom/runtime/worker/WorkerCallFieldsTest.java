package org.persimmonloom.runtime.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.job.TaskReport;
import org.persimmonloom.core.job.WorkerReport;
import org.persimmonloom.runtime.EncodedFields;
import org.persimmonloom.runtime.fleet.HostList;

/**
 * Guards against a rename or reordering of a field or constant that is encoded under its own name:
 * workers could no longer read the calls, or the program the answers of workers and of the host
 * list.
 */
final class WorkerCallFieldsTest {
  @Test
  void encodedFieldsKeepTheirNames() {
    List<String> fields = new ArrayList<>();
    fields.addAll(EncodedFields.of("(start)", StartRequest.class));
    fields.addAll(EncodedFields.of("(renew)", RenewRequest.class));
    fields.addAll(EncodedFields.of("(task)", TaskRequest.class));
    fields.addAll(EncodedFields.of("(report)", WorkerReport.class));
    fields.addAll(EncodedFields.of("(task report)", TaskReport.class));
    fields.addAll(EncodedFields.of("(host list)", HostList.class));

    assertThat(fields).isEqualTo(EncodedFields.recorded("worker-calls.txt"));
  }
}
