// A read-only SNMP v2c agent for the core's counters (mibs/ALDERSILL-MIB.txt), on Net-SNMP's agent library
// and the event loop. It neither reads nor writes configuration or state files of the machine.
#ifndef ALDERSILL_SRC_SNMP_AGENT_H_
#define ALDERSILL_SRC_SNMP_AGENT_H_

#include <functional>
#include <memory>

#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "snmp/objects.h"

namespace aldersill::snmp {

// At most one in a process, as the library keeps global state.
class Agent {
 public:
  // `objects` returns the current objects and is called for each request. Throws std::runtime_error if it
  // cannot listen.
  Agent(event_base* base, const Endpoint& listen, std::function<ObjectMap()> objects);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // The UDP port that is listened on.
  int port() const { return port_; }

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* self);

  int port_ = 0;
  EventPtr<event> readable_;
};

}  // namespace aldersill::snmp

#endif  // ALDERSILL_SRC_SNMP_AGENT_H_
