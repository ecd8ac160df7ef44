// Wiring: carries out the effects that the reducer asks for and feeds it what fronts, links and timers tell.
#ifndef ALDERSILL_SRC_DAEMON_DAEMON_H_
#define ALDERSILL_SRC_DAEMON_DAEMON_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/reducer.h"
#include "faktory/front.h"
#include "http/client_front.h"
#include "http/discovery.h"
#include "http/instance_link.h"
#include "net/event_loop.h"
#include "snmp/agent.h"

namespace aldersill {

class Daemon : public EventSink {
 public:
  explicit Daemon(Config config);
  ~Daemon() override;

  void Run();
  void Tell(Event event) override;

 private:
  void Do(const StartExecution& e);
  void Do(const StopExecution& e);
  void Do(const Answer& e);
  void Do(const SetTimer& e);
  void Do(const ClearTimer& e);
  void Do(const ProbeInstance& e);
  void Do(const WatchNameTable& e);
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

  std::unique_ptr<InstanceLink> instances_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<ClientFront> clients_;
  std::unique_ptr<faktory::Front> faktory_;  // none where it is off
  std::unique_ptr<snmp::Agent> snmp_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_DAEMON_H_
