// The services that components provide to the daemon and to each other. Each component sets its entries in
// Component::Start. Daemon owns the registry, which outlives all components. All functions run on the event
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
#include "upgrade/job_id_locks.h"
#include "upgrade/process_group.h"

namespace aldersill {

// The components and functions that carry out the core's effects.
class EffectHandlers {
 public:
  void SetTransport(WorkerEndpoint::Source source, AttemptTransport* transport) {
    transports_[static_cast<std::size_t>(source)] = transport;
  }
  // Returns null if no component serves workers from this source.
  AttemptTransport* TransportFor(WorkerEndpoint::Source source) const {
    return transports_[static_cast<std::size_t>(source)];
  }

  void SetResponseSink(ClientRef::Frontend frontend, ResponseSink* sink) {
    response_sinks_[static_cast<std::size_t>(frontend)] = sink;
  }
  // Returns null if this frontend is off.
  ResponseSink* ResponseSinkFor(ClientRef::Frontend frontend) const {
    return response_sinks_[static_cast<std::size_t>(frontend)];
  }

  // Starts one health check, whose ProbeCompleted is posted to the core.
  std::function<void(const ProbeWorker&)> probe;
  // Starts the watch of discovery's endpoint list, unless it has been started.
  std::function<void()> watch_endpoint_list;
  // Continues an attempt that another process transferred to this one.
  std::function<void(const ResumeAttempt&)> resume_attempt;

 private:
  std::array<AttemptTransport*, 2> transports_{};
  std::array<ResponseSink*, 2> response_sinks_{};
};

// Services for the group of processes of one dispatcher that run at the same time during an upgrade. The
// upgrade component provides them before any other component starts. Without a shared directory they report
// that there are no other processes.
struct ProcessGroupServices {
  // Counts the other running processes.
  std::function<upgrade::OtherProcesses()> others;
  // Counts the other processes that accept new client connections.
  std::function<upgrade::OtherProcesses()> others_listening;
  // Announces whether this process accepts new client connections.
  std::function<void(bool listening)> set_listening;
  // Returns the path of the Unix socket at which this process receives jobs; empty if it cannot receive jobs.
  std::function<std::string()> own_transfer_socket;
  // Returns the path of that socket of the newest other process that accepts new client connections; empty if
  // there is no such process.
  std::function<std::string()> peer_transfer_socket;
  // Locks the id of an open job against the other processes. Returns false if a job with this id is open in
  // another process.
  std::function<bool(const std::string& id, upgrade::JobIdLocks::Mode mode)> lock_job_id;
  std::function<void(const std::string& id)> unlock_job_id;
  // Bans a worker or lifts its ban, in all processes of this dispatcher.
  std::function<void(const std::string& worker, bool banned)> set_ban;
};

// The sources of the answers to operators' queries.
struct OperatorServices {
  // Returns in one line why this process does not accept clients; empty if it accepts them.
  std::function<std::string()> readiness_failure;
  // Each function adds one component's objects to the map that the SNMP agent serves. All of them are called
  // for every walk.
  std::vector<std::function<void(snmp::ObjectMap*)>> snmp_object_providers;
  // The queries of the control socket by name. Each returns one line of JSON.
  std::map<std::string, std::function<std::string()>> control_queries;
};

struct ComponentRegistry {
  EffectHandlers effects;
  ProcessGroupServices process_group;
  OperatorServices operators;
  // Starts one health check for a component's own use. The result is passed only to the callback, exactly
  // once and possibly before the call returns.
  std::function<void(const ProbeWorker&, std::function<void(ProbeCompleted)>)> probe_with_callback;
  // Divides the connection limits among `processes` processes of this dispatcher, including this one.
  std::function<void(int processes)> set_process_count;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_COMPONENT_REGISTRY_H_
