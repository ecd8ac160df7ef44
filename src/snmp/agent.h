// A read-only SNMP v2c agent for the core's counters (mibs/ALDERSILL-MIB.txt), based on Net-SNMP's agent
// library and the event loop. It neither reads nor writes the machine's configuration and state files.
#ifndef ALDERSILL_SRC_SNMP_AGENT_H_
#define ALDERSILL_SRC_SNMP_AGENT_H_

#include <functional>
#include <memory>

#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "snmp/objects.h"

namespace aldersill::snmp {

// A process can have at most one agent, because the library keeps global state.
class Agent {
 public:
  // `objects` returns the current objects and is called for each request. Throws std::runtime_error if the
  // agent cannot listen.
  Agent(event_base* base, const Endpoint& listen, std::function<ObjectMap()> objects);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // The UDP port on which the agent listens.
  int port() const { return port_; }

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* self);

  int port_ = 0;
  EventPtr<event> readable_;
};

}  // namespace aldersill::snmp

#endif  // ALDERSILL_SRC_SNMP_AGENT_H_
