// What a part of the daemon (frontends and links of one wire, an agent) offers to the wiring and is told by
// it. Daemon holds a list of parts and knows none of them by name: a new part is a file of its own, made in
// parts.cpp. All on the loop's thread.
#ifndef ALDERSILL_SRC_DAEMON_COMPONENT_H_
#define ALDERSILL_SRC_DAEMON_COMPONENT_H_

#include <event2/event.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/reducer.h"
#include "core/types.h"
#include "snmp/objects.h"
#include "upgrade/process_group.h"

namespace aldersill {

class AttemptTransport {
 public:
  virtual ~AttemptTransport() = default;
  virtual void Start(const StartAttempt& start) = 0;
  virtual void Send(const SendAttempt&) {}  // asked for only of who tells AttemptConnected
  virtual void Stop(AttemptId attempt) = 0;
};

class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void Reply(std::uint64_t client, const FinalAnswer& answer) = 0;
  // Whether it has gone, though nobody has been told yet.
  virtual bool HasLeft(std::uint64_t) const { return false; }
};

// Where the core's effects go, and what else a part has for others. A place that nobody has taken is empty.
struct ComponentRegistry {
  std::array<AttemptTransport*, 2> attempt_transports{};  // by Instance::Source
  std::array<ResponseSink*, 2> response_sinks{};          // by ClientRef::Front
  std::function<void(const ProbeWorker&)> probe;
  // The same for a part's own sake: what comes of it goes to the function alone, once.
  std::function<void(const ProbeWorker&, std::function<void(ProbeCompleted)>)> probe_for;
  std::function<void()> watch_endpoint_list;
  // Why this process takes no clients, in one line; empty where it does.
  std::function<std::string()> why_not_ready;
  // The other processes of this dispatcher, as while one is upgraded to the next.
  std::function<upgrade::OtherProcesses()> other_processes;
  // Those of them to which clients come, and whether they come to this one.
  std::function<upgrade::OtherProcesses()> processes_listening;
  std::function<void(bool)> set_listening;
  // How many processes hold the dispatcher's descriptors between them from now on, this one included.
  std::function<void(int processes)> share_descriptors;
  // Carries on with an attempt that another process handed over.
  std::function<void(const ResumeAttempt&)> resume;
  // Where jobs are handed to this process, and to the newest of the others that listens; empty where there is
  // none.
  std::function<std::string()> own_job_socket, other_job_socket;
  // Tells the core of a ban, and keeps it for the other processes.
  std::function<void(const std::string& worker, bool banned)> keep_ban;
  // Called with each walk: what the part adds to the MIB.
  std::vector<std::function<void(snmp::ObjectMap*)>> snmp_objects;
  // What a running instance can be asked over its control socket, by the question's name: JSON, one line.
  std::map<std::string, std::function<std::string()>> questions;
};

struct ComponentContext {
  event_base* base = nullptr;
  EventSink* sink = nullptr;
  const Reducer* reducer = nullptr;  // to read: its state changes through `sink` alone
  ComponentRegistry* registry = nullptr;
  std::function<Micros()> now;  // the clock of the whole program
};

class Component {
 public:
  virtual ~Component() = default;

  // Takes its places in the offers and begins. Throws std::runtime_error if it cannot, as where it cannot
  // listen.
  virtual void Start(const Config& config) = 0;
  // After all parts have begun, and the name table remembered is known.
  virtual void OnAllStarted() {}

  // The configuration read anew, in two steps so that it is taken over completely or not at all:
  // PrepareReload does all that can fail, throws what is wrong and changes nothing that shows; ApplyReload
  // cannot fail. A PrepareReload without an ApplyReload is undone by CancelReload.
  virtual void PrepareReload(const Config&) {}
  virtual void ApplyReload(const Config&) {}
  virtual void CancelReload() {}
  // After the core has been told the new settings.
  virtual void OnReloadApplied(const Config&) {}

  virtual void BeginDrain() {}
  virtual bool Quiet() const { return true; }  // nothing in hand that the program's end would lose
};

// All parts, in the order in which they start.
std::vector<std::unique_ptr<Component>> MakeComponents(const ComponentContext& context);

constexpr int kAdminConnections = 16;  // at the operators' address

// How the descriptors are shared out among the parts that hold connections.
struct DescriptorShares {
  explicit DescriptorShares(const Config& config);
  int sessions = 0, clients = 0, workers = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_COMPONENT_H_
