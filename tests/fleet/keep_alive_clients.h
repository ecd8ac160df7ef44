// Service clients on the rig's event loop that send one request after another on a connection until it is
// closed, also while its dispatcher shuts down.
#ifndef ALDERSILL_TESTS_FLEET_KEEP_ALIVE_CLIENTS_H_
#define ALDERSILL_TESTS_FLEET_KEEP_ALIVE_CLIENTS_H_

#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fleet/dispatchers.h"
#include "fleet/run_context.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

class KeepAliveClients {
 public:
  KeepAliveClients(const RunContext& context, const Dispatchers* dispatchers);
  // Starts as many clients as the timetable specifies. They send requests until the timetable's end.
  void Begin();
  int waiting() const { return waiting_; }
  // The last time, by the steady clock, at which a request was answered or lost its connection.
  Micros last_end() const { return last_end_; }

 private:
  struct Client {
    KeepAliveClients* owner = nullptr;
    int number = 0;
    int dispatcher = -1;
    int kills_before = 0;            // kills of its dispatcher before it connected
    int requests = 0;                // number of requests so far; the number of the current one
    int requests_on_connection = 0;  // number of answers on this connection
    bool sent_again = false;         // the current request was sent again on a new connection
    bool connection_open = false;
    std::string id;
    const JobClass* job_class = nullptr;
    std::string tenant;
    int deadline_ms = 0;
    EventPtr<evhttp_connection> previous_connection, connection;
    std::unique_ptr<Timer> pause;
  };
  static void OnAnswer(evhttp_request* request, void* client);
  static void OnClosed(evhttp_connection* connection, void* client);
  void SendNext(Client* client);
  void DrawRequest(Client* client);
  // Connects to a ready dispatcher other than `avoided`. Returns false if there is none.
  bool Connect(Client* client, int avoided);
  void Send(Client* client);
  void Answered(Client* client, evhttp_request* request, int status);
  void ClosedUnanswered(Client* client);
  void Finish(Client* client);

  RunContext context_;
  const Dispatchers* dispatchers_;
  pcg32 random_;
  std::vector<std::unique_ptr<Client>> clients_;
  Micros ends_at_ = 0;
  int waiting_ = 0;
  Micros last_end_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_KEEP_ALIVE_CLIENTS_H_
