// The service clients of a run, on the rig's event loop: each sends one request to a dispatcher that is up
// and waits for its answer, or leaves before that.
#ifndef ALDERSILL_TESTS_FLEET_SERVICE_CLIENTS_H_
#define ALDERSILL_TESTS_FLEET_SERVICE_CLIENTS_H_

#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fleet/dispatchers.h"
#include "fleet/run_context.h"
#include "net/event_ptr.h"

namespace aldersill::fleet {

// How a client ends its connection before it has its answer.
struct Departure {
  bool reset = false;          // resets the connection instead of closing it
  bool floods_before = false;  // sends many unexpected bytes first
};

class ServiceClients {
 public:
  ServiceClients(const RunContext& context, Dispatchers* dispatchers);

  // Sends the request with this number. Its class, tenant, deadline and dispatcher are drawn at random. Sends
  // nothing if no dispatcher is up.
  void SendRequest(int number);
  // Disconnects all clients that wait for an answer of the dispatcher.
  void LeaveAll(int dispatcher, Departure departure);
  // Opens `count` connections to the dispatcher and lets them become idle. Then sends SIGTERM, and sends a
  // request on each connection, most of them around SIGTERM and the others within `for_ms`. A request that
  // receives no byte of an answer is retried at another dispatcher.
  void SendDuringShutdown(int dispatcher, int count, int for_ms);

  int waiting() const { return waiting_; }
  // The last time, by the steady clock, at which a client received its answer or left.
  Micros last_end() const { return last_end_; }
  int retried_elsewhere() const { return retried_elsewhere_; }
  int flooding() const { return flooding_; }

 private:
  struct Client {
    ServiceClients* owner = nullptr;
    std::string id;
    const JobClass* job_class = nullptr;
    std::string tenant;
    int deadline_ms = 0;
    int dispatcher = -1;
    bool reuses_connection = false;  // its connection has carried an answer before
    bool finished = false;
    EventPtr<evhttp_connection> previous_connection, connection;
  };

  static void OnAnswer(evhttp_request* request, void* client);
  Client* AddClient(const JobClass& job_class, const std::string& tenant, int deadline_ms, int number,
                    int dispatcher);
  Client* AddIdleConnection(int index, int dispatcher);
  void TerminateAmongRequests(int dispatcher, const std::vector<Client*>& clients, int for_ms);
  void Connect(Client* client, int dispatcher);
  void SendAndWait(Client* client);
  void Send(Client* client);
  evhttp_request* MakeRequest(Client* client) const;
  bool RetryElsewhere(Client* client);
  void Leave(Client* client, Departure departure);
  void ConnectionLost(Client* client);
  void Answered(Client* client, evhttp_request* request, int status);

  RunContext context_;
  Dispatchers* dispatchers_;
  pcg32 random_;
  std::vector<std::unique_ptr<Client>> clients_;
  int waiting_ = 0;
  int shutdown_requests_ = 0;
  int retried_elsewhere_ = 0;
  int flooding_ = 0;
  Micros last_end_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SERVICE_CLIENTS_H_
