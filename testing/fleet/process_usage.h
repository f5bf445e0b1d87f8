#ifndef PIMENTOHALL_TESTING_FLEET_PROCESS_USAGE_H_
#define PIMENTOHALL_TESTING_FLEET_PROCESS_USAGE_H_

#include <sys/types.h>

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

struct process_usage {
  double cpu_s = 0;        // User and system time, in steps of 10 ms.
  double resident_mb = 0;  // Units of 1024 * 1024 bytes.
};

// Reads /proc/ID/stat and /proc/ID/status.
fleet_result<process_usage> ReadUsage(pid_t id);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_PROCESS_USAGE_H_
