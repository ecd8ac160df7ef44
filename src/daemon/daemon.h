// Wiring: hands the effects that the reducer asks for to the parts that offered to take them, and feeds it
// what parts and timers tell.
#ifndef ALDERSILL_SRC_DAEMON_DAEMON_H_
#define ALDERSILL_SRC_DAEMON_DAEMON_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/reducer.h"
#include "daemon/component.h"
#include "net/event_loop.h"

namespace aldersill {

class Daemon : public EventSink {
 public:
  explicit Daemon(Config config);
  ~Daemon() override;

  void Run();
  void Post(Event event) override;

 private:
  void Do(const StartAttempt& e);
  void Do(const ResumeAttempt& e);
  void Do(const SendAttempt& e);
  void Do(const StopAttempt& e);
  void Do(const Answer& e);
  void Do(const SetTimer& e);
  void Do(const ClearTimer& e);
  void Do(const ProbeWorker& e);
  void Do(const WatchEndpointList& e);
  void Do(const LogLine& e);

  static void OnSignal(evutil_socket_t signal, short what, void* self);
  void BeginDrain();
  // Reads the configuration anew and takes all of it over, or none.
  void Reload();
  void EndIfQuiet();
  Micros Now() const;

  EventPtr<event_base> base_;
  Config config_;
  Reducer reducer_;
  std::deque<Event> events_;
  bool reducing_ = false;
  std::vector<Effect> effects_;
  // The module may ask for one token twice, so a key may have several waits.
  std::multimap<TimerKey, std::unique_ptr<Timer>> timers_;
  std::vector<EventPtr<event>> signals_;
  std::unique_ptr<Timer> quiet_timer_;
  Micros clock_offset_ = 0;
  Micros drain_began_ = 0;

  ComponentRegistry registry_;
  std::vector<std::unique_ptr<Component>> components_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_DAEMON_H_
