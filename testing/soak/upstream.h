#ifndef PIMENTOHALL_TESTING_SOAK_UPSTREAM_H_
#define PIMENTOHALL_TESTING_SOAK_UPSTREAM_H_

// An upstream of the soak: remembers every attempt that it began to run, and
// fails some on order.

#include <map>
#include <random>
#include <string>
#include <vector>

#include "pimentohall/stream.h"

namespace pimentohall::testing {

enum class upstream_fault {
  kNone,
  kSheds,    // Says that it didn't run the call.
  kHangs,    // Never answers.
  kLoses,    // Runs the call and closes without an answer.
  kCuts,     // Closes in the middle of the answer.
  kFails,    // Answers 500.
  kBabbles,  // Sends more bytes after a whole answer.
  kSlow,     // Takes ten times as long.
};

// What an upstream saw of one attempt of a caller.
struct upstream_record {
  int runs = 0;
  core::instant last_at{};
  std::string last_start;  // The start that ran it.
  std::string tenant;
  bool key_shown = false;
};

// Shared by all upstreams of a fleet; by the caller's id of the attempt.
using run_log = std::map<std::string, upstream_record>;

// The body with which an upstream answers an attempt.
std::string AnswerOf(const std::string& attempt, const std::string& tenant);

class soak_upstream {
 public:
  soak_upstream(net::event_loop& loop, net::timer_service& timers,
                net::endpoint listen, run_log* runs, std::uint64_t seed);

  bool Open();
  // A new start of the upstream; calls meant for another one are refused.
  void SetStart(const std::string& start) { start_ = start; }
  void SetFault(upstream_fault fault) { fault_ = fault; }

 private:
  using connection_ptr = std::shared_ptr<stream::server_exchange>;
  void Take(const connection_ptr& conn, const stream::message_head& head);
  void Run(const connection_ptr& conn, const stream::message_head& head);
  void Answer(const connection_ptr& conn, int status, const std::string& body,
              net::header_list headers);

  net::event_loop& loop_;
  net::timer_service& timers_;
  stream::server front_;
  run_log* runs_;
  std::mt19937_64 random_;
  std::string start_;
  upstream_fault fault_ = upstream_fault::kNone;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_SOAK_UPSTREAM_H_
