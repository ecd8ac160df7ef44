// The running dispatcher: owns the event loop, the core and the components, passes events to the core and
// carries out its effects through the components.
#ifndef ALDERSILL_SRC_DAEMON_DAEMON_H_
#define ALDERSILL_SRC_DAEMON_DAEMON_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/reducer.h"
#include "daemon/component.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill {

// Runs on one thread. SIGTERM and SIGINT begin a graceful shutdown; SIGHUP reloads the configuration.
class Daemon : public EventSink, private DrainStatus {
 public:
  // Starts all components. Throws std::runtime_error if one of them cannot start.
  explicit Daemon(Config config);
  ~Daemon() override;

  // Serves until a graceful shutdown is complete.
  void Run();

  // Passes the event to the core and carries out its effects. An event that is posted while effects are
  // carried out is queued until all effects of the current event are done.
  void Post(Event event) override;

 private:
  void StartComponents();
  void WatchSignals();
  static void OnSignal(evutil_socket_t signal, short what, void* self);

  void Reduce(Event event);
  // Locks the request's id against the other processes of this dispatcher. Whether one of them has it open is
  // recorded in the request.
  void LockJobId(RequestReceived& received) const;
  void Perform(const StartAttempt& start);
  void Perform(const ResumeAttempt& resume);
  void Perform(const SendAttempt& send);
  void Perform(const StopAttempt& stop);
  void Perform(const Answer& answer);
  void Perform(const SetTimer& timer);
  void Perform(const ClearTimer& timer);
  void Perform(const ProbeWorker& probe);
  void Perform(const WatchEndpointList& watch);
  void Perform(const LogLine& line);
  void Perform(const JobIdClosed& closed);
  bool ClientDisconnected(const ClientRef& client) const;

  // Reads the configuration again and applies all of it, or none of it if any part is rejected. If a file
  // cannot be read, the reload is retried for a limited time.
  void Reload();
  void TryReload();
  // Phase 1: reads the configuration and prepares the components. Returns nothing if the configuration was
  // rejected; no component has changed then.
  std::optional<Config> PrepareReload();
  // Cancels the reload in all components. Logs and reports the rejection once for each requested reload, not
  // for its retries.
  void RejectReload(const std::string& code, const std::string& field, const std::string& reason);
  // Phase 2: applies the configuration to the core and the components. Cannot fail.
  void ApplyReload(Config next);

  // DrainStatus
  bool draining() const override { return reducer_.drain().draining(); }
  bool answers_due() const override { return reducer_.drain().AnswersDue(Now()); }

  void BeginDrain();
  // Ends Run if the drain is complete; otherwise checks again after kDrainCheckInterval.
  void StopIfDrained();
  bool IsIdle() const;

  // Returns Unix time in microseconds that never steps back.
  Micros Now() const;

  EventPtr<event_base> base_;
  Config config_;
  Reducer reducer_;
  std::deque<Event> events_;  // posted but not passed to the core yet
  bool reducing_ = false;     // whether Post is processing events now
  std::vector<Effect> effects_;
  // A multimap, because the decision module may set several timers with one token.
  std::multimap<TimerKey, std::unique_ptr<Timer>> timers_;
  std::vector<EventPtr<event>> signals_;
  std::unique_ptr<Timer> drain_timer_;
  std::unique_ptr<Timer> reload_timer_;
  Micros reload_requested_at_ = 0;  // time of the last request for a reload, by the steady clock
  bool reload_rejected_ = false;    // whether the last requested reload has been rejected
  Micros clock_offset_ = 0;         // Unix time minus the steady clock's time, fixed at the start

  ComponentRegistry registry_;
  std::vector<std::unique_ptr<Component>> components_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_DAEMON_H_
