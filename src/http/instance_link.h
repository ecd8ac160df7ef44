// Links to instances: HTTP/1.1 over bufferevents, one execution at a time on a connection, idle ones pooled
// by address. Not on evhttp's client, which cannot tell a request never written whole from a connection reset
// after it, nor when a connection has come up (docs/architecture.md has what was measured).
#ifndef ALDERSILL_SRC_HTTP_INSTANCE_LINK_H_
#define ALDERSILL_SRC_HTTP_INSTANCE_LINK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "event_loop.h"

namespace aldersill {

class InstanceLink {
 public:
  InstanceLink(event_base* base, Micros dial_timeout, Micros conn_idle,
               int most_connections, EventSink* sink);
  ~InstanceLink();

  void Adopt(Micros dial_timeout, Micros conn_idle, int most_connections);
  void Start(const StartExecution& start);
  void Stop(ExecutionNo execution);
  void Probe(const ProbeInstance& probe);
  void DropIdle(const std::string& address);

 private:
  class Connection;
  friend class Connection;

  // A connection to the address, idle or new; null where none can be had.
  Connection* Open(const std::string& address);
  void Idle(Connection* connection);
  void Remove(Connection* connection);

  event_base* base_;
  Micros dial_timeout_ = 0;
  Micros keep_idle_ = 0;
  std::size_t most_connections_ = 0;
  EventSink* sink_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_map<std::string, std::vector<Connection*>> idle_;  // by address, the latest used last
  std::map<ExecutionNo, Connection*> busy_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_INSTANCE_LINK_H_
