// Watches discovery's endpoint list over HTTP, with evhttp's client. Usually one poll is outstanding; another
// is sent beside it if that one may be lost.
#ifndef ALDERSILL_SRC_HTTP_DISCOVERY_CLIENT_H_
#define ALDERSILL_SRC_HTTP_DISCOVERY_CLIENT_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"
#include "endpoint_list/codec.h"
#include "http/connect_probe.h"
#include "http/watch_scheduler.h"
#include "log/log.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {

class DiscoveryClient {
 public:
  // `known_version`: of the list that is known already; none if it came from elsewhere, so that the first
  // update has to be a snapshot. `scheduler`: has been started. `previous`: the client of the previous
  // address, if any. It continues its watch until this client's first answer or its own end, because where
  // all dispatchers move together that answer may take seconds. `base` and `sink` must outlive this object.
  DiscoveryClient(event_base* base, const Endpoint& endpoint, std::optional<std::uint64_t> known_version,
                  WatchScheduler scheduler, EventSink* sink,
                  std::unique_ptr<DiscoveryClient> previous = nullptr);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Starts the watch, unless it is started; it is opened anew whenever it ends or falls silent, as the
  // scheduler allows. Posts each update, one event for each end of the watch, and after every step for how
  // long the list is valid.
  void StartWatching();
  const WatchScheduler& scheduler() const { return scheduler_; }
  // A reload without a move, requested at `reloaded_at`.
  void ApplySettings(Micros reloaded_at, WatchScheduler::Settings settings, const PollBackoff& backoff);
  void ReloadRejected(Micros reloaded_at);

 private:
  enum class State {
    kNotStarted,
    kWatching,
    kSuperseded,  // a client of another address has taken over: continues a working watch, opens no new one
  };
  // A connection to discovery, and the poll that is outstanding on it, if any.
  struct PollConnection {
    DiscoveryClient* owner = nullptr;
    EventPtr<evhttp_connection> connection;
    evhttp_request* request = nullptr;  // evhttp's
    Micros sent_at = 0;
    Micros wait = 0;
  };

  void Supersede(DiscoveryClient* successor);
  bool superseded() const { return state_ == State::kSuperseded; }
  // Sets the timers and posts the lease of the list, as the scheduler has it now.
  void Schedule();

  void SendPoll();
  PollConnection& ChooseConnection();
  void LogOverduePoll(Micros now) const;
  void LogPollSent(const PollConnection& poll) const;
  void LogBoundChange();
  LogLevel PollLogLevel() const;
  bool OpenConnection(PollConnection* poll);
  std::string PollPath(Micros wait) const;
  void Cancel(PollConnection* poll, const char* why);
  std::ptrdiff_t OutstandingPolls() const;

  static void OnPollDone(evhttp_request* request, void* poll);
  void HandleResponse(PollConnection* poll, evhttp_request* request);
  void ApplyUpdate(PollConnection* poll, EndpointListMessage message);
  EndpointListUpdate::Form FormOf(const EndpointListMessage& message) const;
  void HandleFailure(PollConnection* poll, std::string_view reason, bool by_discovery = false);
  void HandleProbeResult(bool refused);

  event_base* base_;
  const Endpoint endpoint_;
  EventSink* sink_;
  WatchScheduler scheduler_;
  // Polls of an agent follow one another by 120 ms, so that each may take half a second.
  std::array<PollConnection, 4> polls_;
  PollConnection* last_answered_ = &polls_[0];
  Timer poll_timer_;
  Timer probe_timer_;
  ConnectProbe probe_;
  std::optional<std::uint64_t> version_;
  State state_ = State::kNotStarted;
  bool watch_open_ = false;             // the last poll that ended was answered
  Micros last_poll_end_ = SteadyNow();  // or the start of this client
  std::optional<ValidityBound> logged_bound_;
  bool probe_refused_ = false;  // the last one
  std::unique_ptr<DiscoveryClient> previous_;
  DiscoveryClient* successor_ = nullptr;  // set while superseded
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DISCOVERY_CLIENT_H_
