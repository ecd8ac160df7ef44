// A stand-in for the discovery service of one dispatcher, on the rig's event loop. It is either polled, with
// watches and versions, or an agent that receives pushed lists and answers every call at once. Each
// dispatcher has its own, because each reaches the workers through its own links.
//
// tools/stand_ins.h has a smaller stand-in with blocking threads, for tests without injected faults.
#ifndef ALDERSILL_TESTS_FLEET_DISCOVERY_H_
#define ALDERSILL_TESTS_FLEET_DISCOVERY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

// Frees an unanswered request whose connection has ended, since evhttp leaves that to the request's handler.
// Does nothing if the connection still owns the request or if `request` is null. Call it in the close
// callback of an evhttp connection.
void FreeUnownedRequest(evhttp_request* request);

// The states of a worker in discovery's list.
inline constexpr char kServing[] = "SERVING";
inline constexpr char kDraining[] = "DRAINING";
inline constexpr char kDeleted[] = "DELETED";

class StandInDiscovery {
 public:
  // Called when a worker's state is written to the dispatcher or, for an agent, when the agent receives it.
  using AnnouncedCallback = std::function<void(int worker, bool serving)>;
  // `pushed`: whether this is an agent. `list`: one entry for each worker, in the order of the workers'
  // numbers and in the format of discovery's answers. `version`: the version of that list. Throws
  // std::runtime_error if it cannot listen.
  StandInDiscovery(event_base* base, bool pushed, nlohmann::json list, std::uint64_t version,
                   AnnouncedCallback announced);
  ~StandInDiscovery();
  std::uint16_t port() const { return port_; }

  // Changes the entry of a worker and answers the open watches. `state`: kServing, kDraining or kDeleted.
  // `started_ms`: the worker's new start time as Unix time in milliseconds; 0 keeps the current one.
  void ChangeWorker(int worker, const std::string& state, std::int64_t started_ms);
  // When a polled discovery goes down, it resets its open calls, and it answers calls with 503 until it is up
  // again. An agent that is down leaves calls unanswered. ChangeWorker must not be called while it is down.
  void SetDown(bool down);
  // Stops accepting connections for the rest of the run. Open calls stay open.
  void Close();
  // Resets the connections of all open calls.
  void ResetOpenCalls() { ResetCalls(); }
  enum class FailureMode { kNone, kErrors, kLosses, kRefused };
  // Resets the open calls unless `mode` is kNone. Later calls are answered with 503 (kErrors), never answered
  // (kLosses), or refused because the port is closed (kRefused). The list still receives changes. Throws
  // std::runtime_error if the port cannot be closed or opened again.
  void SetFailureMode(FailureMode mode);
  // Never answers the calls that are open now or, if there are none, the next call.
  void IgnorePendingCalls();
  const nlohmann::json& list() const { return list_; }

 private:
  struct Call {
    StandInDiscovery* discovery = nullptr;
    evhttp_request* request = nullptr;
    std::uint64_t since = 0;  // the version of the dispatcher's list
    bool full_list = false;   // the call asks for the full list instead of the changes since `since`
    bool ignored = false;     // the call is never answered
    std::unique_ptr<Timer> watch_timeout;
  };
  static void OnCall(evhttp_request* request, void* self);
  static void OnConnectionEnd(evhttp_connection* connection, void* call);
  bool AnswersWithError() const;
  void AddCall(evhttp_request* request);
  nlohmann::json ServersFor(const Call& call) const;
  void Announce(const Call& call) const;
  void Answer(Call* call);
  void Listen(std::uint16_t port);
  void StopListening();
  void ResetCalls();
  void Remove(Call* call);

  event_base* base_;
  const bool pushed_;
  nlohmann::json list_;
  std::vector<std::uint64_t> entry_versions_;  // the version in which each entry changed last
  std::uint64_t version_;
  AnnouncedCallback announced_;
  bool down_ = false, ignore_next_ = false, closed_ = false;
  FailureMode failure_mode_ = FailureMode::kNone;
  evhttp_bound_socket* socket_ = nullptr;
  EventPtr<bufferevent>
      reserved_port_;  // a bound socket that keeps the port while the server does not listen
  std::uint16_t port_ = 0;
  std::list<Call> calls_;
  EventPtr<evhttp> server_;  // declared last, because its destruction calls OnConnectionEnd
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DISCOVERY_H_
