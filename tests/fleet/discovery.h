// Discovery as one dispatcher sees it, on the rig's event loop: asked, with watches and versions, or pushed,
// as an agent that answers at once with what it has been sent. Each dispatcher has one of its own, as each
// reaches the workers at addresses of its own.
#ifndef ALDERSILL_TESTS_FLEET_DISCOVERY_H_
#define ALDERSILL_TESTS_FLEET_DISCOVERY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/event_loop.h"

namespace aldersill::fleet {

// A connection has ended that had this request: evhttp leaves some requests to whoever was to answer them.
void FreeIfLeft(evhttp_request* request);

class StandInDiscovery {
 public:
  // Called as a worker's state goes out to the dispatcher, or for an agent's list as the agent has it.
  using Told = std::function<void(int worker, bool serving)>;
  // `list`: entries in discovery's form, in the order of the workers. `version`: of it.
  StandInDiscovery(event_base* base, bool pushed, nlohmann::json list, std::uint64_t version, Told told);
  ~StandInDiscovery();
  std::uint16_t port() const { return port_; }

  // `state`: SERVING, DRAINING or DELETED.
  void Change(int worker, const std::string& state, std::int64_t started_ms);
  // Asked: watches are reset, calls answered 503. Pushed: calls are left without an answer. No change may
  // come meanwhile.
  void Down(bool down);
  enum class Trouble { kNone, kErrors, kLosses, kRefused };
  // The open calls are reset. From then on calls are answered 503, are lost, or are refused, as nobody
  // listens; changes come to it all the same. Throws std::runtime_error if it cannot listen again.
  void Fail(Trouble trouble);
  // The calls that are out, or the next one where none is, are never answered.
  void Silence();
  const nlohmann::json& list() const { return list_; }
  std::uint64_t version() const { return version_; }

 private:
  struct Call {
    StandInDiscovery* discovery = nullptr;
    evhttp_request* request = nullptr;
    std::uint64_t since = 0;
    bool whole = false;
    bool silent = false;
    std::unique_ptr<Timer> overdue;
  };
  static void OnCall(evhttp_request* request, void* self);
  static void OnEnd(evhttp_connection* connection, void* call);
  void Answer(Call* call);
  void Listen(std::uint16_t port);
  void ResetCalls();
  void Remove(Call* call);

  event_base* base_;
  const bool pushed_;
  nlohmann::json list_;
  std::vector<std::uint64_t> changed_;  // the version of each entry's last change
  std::uint64_t version_;
  Told told_;
  bool down_ = false, silence_next_ = false;
  Trouble trouble_ = Trouble::kNone;
  evhttp_bound_socket* socket_ = nullptr;
  EventPtr<bufferevent> reserved_;  // keeps the port while nobody listens
  std::uint16_t port_ = 0;
  std::list<Call> calls_;
  EventPtr<evhttp> http_;  // its end tells of the end of calls
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DISCOVERY_H_
