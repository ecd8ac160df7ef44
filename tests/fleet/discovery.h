// Discovery as one dispatcher sees it, on the rig's event loop. It is either polled, with watches and
// versions, or an agent to which lists are pushed and which answers at once. Each dispatcher has a discovery
// of its own, as each reaches the workers at addresses of its own.
//
// tools/stand_ins.h has a smaller one, blocking and on threads, for tests without injected faults.
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

// For the close callbacks of evhttp connections: evhttp leaves a request that had no answer yet to whoever
// was to answer it. Frees it in that case; `request` may be null.
void FreeUnownedRequest(evhttp_request* request);

// The states of a worker in discovery's list.
inline constexpr char kServing[] = "SERVING";
inline constexpr char kDraining[] = "DRAINING";
inline constexpr char kDeleted[] = "DELETED";

class StandInDiscovery {
 public:
  // Called when a worker's state is written to the dispatcher, or, for an agent, when the agent has received
  // it.
  using AnnouncedCallback = std::function<void(int worker, bool serving)>;
  // `list`: entries in discovery's form, in the order of the workers. `version`: of the list. Throws
  // std::runtime_error if it cannot listen.
  StandInDiscovery(event_base* base, bool pushed, nlohmann::json list, std::uint64_t version,
                   AnnouncedCallback announced);
  ~StandInDiscovery();
  std::uint16_t port() const { return port_; }

  // `state`: kServing, kDraining or kDeleted. `started_ms`: in Unix time, 0 to leave it as it is.
  void ChangeWorker(int worker, const std::string& state, std::int64_t started_ms);
  // While it is down a polled discovery resets its watches and answers calls 503; an agent leaves calls
  // without an answer. ChangeWorker must not be called meanwhile.
  void SetDown(bool down);
  // The address accepts no new connection any more; its open calls go on. For good.
  void Close();
  // Resets the open calls of a closed address.
  void ResetOpenCalls() { ResetCalls(); }
  enum class FailureMode { kNone, kErrors, kLosses, kRefused };
  // Resets the open calls. From then on calls are answered 503, never answered, or refused as nobody listens.
  // The list still receives changes. Throws std::runtime_error if it cannot listen again.
  void SetFailureMode(FailureMode mode);
  // The open calls, or the next one if none is open, are never answered.
  void IgnorePendingCalls();
  const nlohmann::json& list() const { return list_; }

 private:
  struct Call {
    StandInDiscovery* discovery = nullptr;
    evhttp_request* request = nullptr;
    std::uint64_t since = 0;  // the version that the dispatcher has
    bool full_list = false;   // else the changes since that version
    bool ignored = false;     // never answered
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
  std::vector<std::uint64_t> entry_versions_;  // of each entry's last change
  std::uint64_t version_;
  AnnouncedCallback announced_;
  bool down_ = false, ignore_next_ = false, closed_ = false;
  FailureMode failure_mode_ = FailureMode::kNone;
  evhttp_bound_socket* socket_ = nullptr;
  EventPtr<bufferevent> reserved_port_;  // bound, while nobody listens
  std::uint16_t port_ = 0;
  std::list<Call> calls_;
  EventPtr<evhttp> server_;  // declared last: its end calls OnConnectionEnd
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DISCOVERY_H_
