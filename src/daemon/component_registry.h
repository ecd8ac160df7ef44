// What components provide to the daemon and to each other. Each component fills its entries in
// Component::Start; Daemon owns the registry, which outlives all components. Every function runs on the event
// loop's thread. An empty function means that no running component provides the service.
#ifndef ALDERSILL_SRC_DAEMON_COMPONENT_REGISTRY_H_
#define ALDERSILL_SRC_DAEMON_COMPONENT_REGISTRY_H_

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"
#include "daemon/attempt_transport.h"
#include "daemon/response_sink.h"
#include "snmp/objects.h"
#include "upgrade/process_group.h"

namespace aldersill {

// Who carries out the effects that the core emits.
class EffectHandlers {
 public:
  void SetTransport(WorkerEndpoint::Source source, AttemptTransport* transport) {
    transports_[static_cast<std::size_t>(source)] = transport;
  }
  // Null where no component serves workers from this source.
  AttemptTransport* TransportFor(WorkerEndpoint::Source source) const {
    return transports_[static_cast<std::size_t>(source)];
  }

  void SetResponseSink(ClientRef::Frontend frontend, ResponseSink* sink) {
    response_sinks_[static_cast<std::size_t>(frontend)] = sink;
  }
  // Null where this frontend is off.
  ResponseSink* ResponseSinkFor(ClientRef::Frontend frontend) const {
    return response_sinks_[static_cast<std::size_t>(frontend)];
  }

  // Starts one health check; its ProbeCompleted is posted to the core.
  std::function<void(const ProbeWorker&)> probe;
  std::function<void()> watch_endpoint_list;
  // Continues an attempt that another process transferred to this one.
  std::function<void(const ResumeAttempt&)> resume_attempt;

 private:
  std::array<AttemptTransport*, 2> transports_{};
  std::array<ResponseSink*, 2> response_sinks_{};
};

// The processes of one dispatcher that run side by side during an upgrade. Provided by the upgrade component
// before any other component starts; without a shared directory there are no other processes.
struct ProcessGroupServices {
  std::function<upgrade::OtherProcesses()> others;
  // The other processes that accept new client connections.
  std::function<upgrade::OtherProcesses()> others_listening;
  // Announces whether this process accepts new client connections.
  std::function<void(bool listening)> set_listening;
  // Path of the Unix socket at which this process receives jobs; empty where it can receive none.
  std::function<std::string()> own_transfer_socket;
  // The same of the newest other process that listens; empty where there is none.
  std::function<std::string()> peer_transfer_socket;
  // Bans a worker or lifts its ban, in this process and in the others.
  std::function<void(const std::string& worker, bool banned)> set_ban;
};

// What operators can query.
struct OperatorServices {
  // Why this process takes no clients, in one line; empty where it does take them.
  std::function<std::string()> readiness_failure;
  // Each adds a component's objects to the MIB; all are called for every walk.
  std::vector<std::function<void(snmp::ObjectMap*)>> snmp_object_providers;
  // The queries of the control socket by name; each answers with one line of JSON.
  std::map<std::string, std::function<std::string()>> control_queries;
};

struct ComponentRegistry {
  EffectHandlers effects;
  ProcessGroupServices process_group;
  OperatorServices operators;
  // One health check for a component's own use: the result goes to the callback alone, exactly once and
  // possibly before the call returns.
  std::function<void(const ProbeWorker&, std::function<void(ProbeCompleted)>)> probe_with_callback;
  // Divides the limits on connections among `processes` processes of this dispatcher, this one included.
  std::function<void(int processes)> set_process_count;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_COMPONENT_REGISTRY_H_
