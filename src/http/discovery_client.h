// Watches discovery's endpoint list with HTTP long polls, over evhttp's client. Usually one poll is
// outstanding; if it may be lost, another is sent in parallel.
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
  // `known_version`: the version of the list that is known already; nothing if that list came from another
  // source, so that the first update has to be a snapshot. `scheduler`: has been started. `previous`: the
  // client of the previous address, if any. It continues its watch until this client's first answer or until
  // that watch ends, because the answer may take seconds if all dispatchers move together. `base` and `sink`
  // must outlive this object.
  DiscoveryClient(event_base* base, const Endpoint& endpoint, std::optional<std::uint64_t> known_version,
                  WatchScheduler scheduler, EventSink* sink,
                  std::unique_ptr<DiscoveryClient> previous = nullptr);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Starts the watch unless it has been started. A watch that ends or falls silent is opened again when the
  // scheduler allows it. Posts an EndpointListUpdate for each answer, an EndpointListWatchFailed each time
  // the watch ends, and an EndpointListLease, with the remaining validity of the list, after every step.
  void StartWatching();
  const WatchScheduler& scheduler() const { return scheduler_; }
  // Applies the settings of a reload, requested at `reloaded_at`, that does not move discovery.
  void ApplySettings(Micros reloaded_at, WatchScheduler::Settings settings, const PollBackoff& backoff);
  // Bounds the list's validity after a reload, requested at `reloaded_at`, whose configuration was rejected.
  void ReloadRejected(Micros reloaded_at);

 private:
  enum class State {
    kNotStarted,
    kWatching,
    kSuperseded,  // a client of another address has taken over; this one only continues a working watch
  };
  // A connection to discovery, and the poll that is outstanding on it, if any.
  struct PollConnection {
    DiscoveryClient* owner = nullptr;
    EventPtr<evhttp_connection> connection;
    evhttp_request* request = nullptr;  // owned by evhttp
    Micros sent_at = 0;
    Micros wait = 0;  // how long discovery may wait for changes before it answers the poll
  };

  // Hands over to the client of another address, which takes ownership of this one.
  void Supersede(DiscoveryClient* successor);
  bool superseded() const { return state_ == State::kSuperseded; }
  // Sets the timers to the scheduler's next poll and probe, and posts the list's lease.
  void Schedule();

  void SendPoll();
  PollConnection& ChooseConnection();
  void LogOverduePoll(Micros now) const;
  void LogPollSent(const PollConnection& poll) const;
  void LogBoundChange();
  LogLevel PollLogLevel() const;
  bool OpenConnection(PollConnection* poll);
  std::string PollPath(Micros wait) const;
  void Cancel(PollConnection* poll, const char* reason);
  std::ptrdiff_t OutstandingPolls() const;

  static void OnPollDone(evhttp_request* request, void* poll);
  void HandleResponse(PollConnection* poll, evhttp_request* request);
  void ApplyUpdate(PollConnection* poll, EndpointListMessage message);
  EndpointListUpdate::Form FormOf(const EndpointListMessage& message) const;
  void HandleFailure(PollConnection* poll, std::string_view reason, bool answered_with_error = false);
  void HandleProbeResult(bool refused);

  event_base* base_;
  const Endpoint endpoint_;
  EventSink* sink_;
  WatchScheduler scheduler_;
  // An agent that does not answer is polled every 120 ms, so four connections let each poll take almost half
  // a second.
  std::array<PollConnection, 4> polls_;
  PollConnection* last_answered_ = &polls_[0];
  Timer poll_timer_;
  Timer probe_timer_;
  ConnectProbe probe_;
  std::optional<std::uint64_t> version_;
  State state_ = State::kNotStarted;
  bool watch_open_ = false;  // the last poll that ended was answered
  // The time at which the last poll ended or, before the first, at which this client was created.
  Micros last_poll_end_ = SteadyNow();
  std::optional<ValidityBound> logged_bound_;
  bool probe_refused_ = false;  // the last probe was refused
  std::unique_ptr<DiscoveryClient> previous_;
  DiscoveryClient* successor_ = nullptr;  // set while superseded
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DISCOVERY_CLIENT_H_
