// Service clients that connect, send the beginning of a request, and complete it up to seconds later, on the
// rig's event loop. During a shutdown their requests arrive late, on connections that were opened before it.
#ifndef ALDERSILL_TESTS_FLEET_SLOW_CLIENTS_H_
#define ALDERSILL_TESTS_FLEET_SLOW_CLIENTS_H_

#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fleet/dispatchers.h"
#include "fleet/run_context.h"
#include "net/event_ptr.h"

namespace aldersill::fleet {

class SlowClients {
 public:
  SlowClients(const RunContext& context, const Dispatchers* dispatchers);
  // Lets `count` clients connect to the dispatcher, spread evenly over `for_ms` milliseconds.
  void Add(int dispatcher, int count, int for_ms);
  int waiting() const { return waiting_; }
  // The last time, by the steady clock, at which a complete request was answered or lost its connection.
  Micros last_end() const { return last_end_; }

 private:
  struct Client {
    SlowClients* owner = nullptr;
    std::string id;
    const JobClass* job_class = nullptr;
    int dispatcher = -1;
    int deadline_ms = 0;
    std::string rest;       // the part of the request that is sent later
    bool complete = false;  // the whole request has been sent
    bool finished = false;
    EventPtr<bufferevent> stream;
  };
  static void OnRead(bufferevent* stream, void* client);
  static void OnEvent(bufferevent* stream, short what, void* client);
  void Connect(Client* client);
  void Complete(Client* client);
  void HandleInput(Client* client);
  void HandleEnd(Client* client);
  void Finish(Client* client);

  RunContext context_;
  const Dispatchers* dispatchers_;
  pcg32 random_;
  std::vector<std::unique_ptr<Client>> clients_;
  int waiting_ = 0;
  Micros last_end_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SLOW_CLIENTS_H_
