#ifndef PIMENTOHALL_TESTING_HOSTILE_CROWD_H_
#define PIMENTOHALL_TESTING_HOSTILE_CROWD_H_

// Clients that ignore the rules of HTTP or hold on to resources.
//
//   crowd clients(loop, timers, {"127.0.0.1", 8080}, plan);
//   clients.Start(200);

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "pimentohall/net.h"

struct bufferevent;

namespace pimentohall::testing {

// What each client of a crowd does with its connection.
struct client_plan {
  std::string opening;  // Sent once.
  std::string piece;    // Sent again and again afterwards; empty: nothing.
  // Pause between pieces; 0: a piece follows as soon as the last one left.
  std::chrono::milliseconds pause{0};
  bool reads = true;
  // The client resets its connection after this time; 0: never.
  std::chrono::milliseconds reset_after{0};
  bool returns = true;  // Connects again when its connection ended.
};

class crowd {
 public:
  crowd(net::event_loop& loop, net::timer_service& timers, net::endpoint target,
        client_plan plan);
  ~crowd();

  void Start(int clients);
  // Connections that were opened, with those that ended.
  int Opened() const { return opened_; }

 private:
  struct client;
  void Connect(client* each);
  void Disconnect(client* each, bool with_reset);
  void SendPieces();
  void OpenClosed();

  net::event_loop& loop_;
  net::endpoint target_;
  client_plan plan_;
  std::vector<std::unique_ptr<client>> clients_;
  sigc::connection piece_timer_;
  sigc::connection return_timer_;
  int opened_ = 0;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_HOSTILE_CROWD_H_
