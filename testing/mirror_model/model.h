#ifndef PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_H_
#define PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_H_

// Schedules of a source and of daemons that copy it, in virtual time. The
// daemons run the real mirror, follower and peer table; the source, the network
// and the rest of a daemon are models. A seed decides what the operators, the
// upstreams and the machines do: versions, evacuations, upstreams that come and
// leave, a source that is away, slow, drops its history or comes back from an
// older copy, daemons that are killed, paused or cut off.
//
// Checked against what was last made (the oracle):
//   back       a daemon's configuration never goes back within a boot
//   returned   an upstream whose leaving a boot has in force isn't used again
//   dropped    an upstream that serves on isn't dropped by a boot that has it
//   late       daemons in touch hold each change within the bound
//   differs    after a quiet time all copies equal the source, by content
//   flooded    calls to the source stay under a rate

#include <cstdint>
#include <string>
#include <vector>

namespace pimentohall::testing {

struct model_options {
  std::uint64_t seed = 1;
  int daemons = 5;
  bool eras = true;  // The source comes back from older copies.
  // Daemons aren't told the era: what they did before they knew of eras.
  bool hide_eras = false;
  bool trace = false;  // Writes what happens to standard error.
  // Operators take long to make again what the source has lost.
  bool slow_operators = false;
};

struct model_report {
  std::vector<std::string> violations;
  int source_calls = 0;
  int returns = 0;  // From older copies.
};

model_report RunMirrorModel(const model_options& options);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_H_
