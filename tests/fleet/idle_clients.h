// Clients that connect to a dispatcher and never send a complete request, on the rig's event loop. Each
// connects again when its connection is closed.
#ifndef ALDERSILL_TESTS_FLEET_IDLE_CLIENTS_H_
#define ALDERSILL_TESTS_FLEET_IDLE_CLIENTS_H_

#include <memory>
#include <vector>

#include "fleet/dispatchers.h"
#include "fleet/run_context.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

class IdleClients {
 public:
  IdleClients(const RunContext& context, const Dispatchers* dispatchers);
  // Adds `count` clients of the dispatcher for `for_ms` milliseconds. Every second one sends half of a
  // request head.
  void Add(int dispatcher, int count, int for_ms);

 private:
  struct Client {
    int dispatcher = -1;
    bool sends_half_head = false;
    Micros until = 0;  // by the steady clock
    EventPtr<bufferevent> stream;
    std::unique_ptr<Timer> reconnect;
  };
  static void OnEvent(bufferevent*, short what, void* client);
  void Connect(Client* client);

  RunContext context_;
  const Dispatchers* dispatchers_;
  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_IDLE_CLIENTS_H_
