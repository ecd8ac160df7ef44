// The dispatcher processes of a run: starts them, signals them, restarts them once they have ended, and asks
// restarted ones whether they are ready.
#ifndef ALDERSILL_TESTS_FLEET_DISPATCHERS_H_
#define ALDERSILL_TESTS_FLEET_DISPATCHERS_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "daemon/daemon_under_test.h"
#include "fleet/cluster_membership.h"
#include "fleet/fleet_discovery.h"
#include "fleet/run_context.h"
#include "net/event_ptr.h"

namespace aldersill::fleet {

enum class ProcessState { kUp, kPaused, kTerminating, kDown };

class Dispatchers {
 public:
  // `cluster`: null if the dispatchers are not members of a cluster. `program`: the path of the dispatcher's
  // program.
  Dispatchers(const RunContext& context, FleetDiscovery* discovery, ClusterMembership* cluster,
              std::string program);

  // Starts a process. Throws std::runtime_error if it does not start to serve.
  void Start(int dispatcher);
  // Sends SIGKILL.
  void Kill(int dispatcher);
  // Marks the dispatcher as terminating, so that clients send no new requests to it and an exit with status 0
  // is expected. The caller then sends SIGTERM with SendTerminate.
  void BeginTermination(int dispatcher);
  void SendTerminate(int dispatcher);
  // Kills and restarts the dispatcher if it is terminating and its process has not ended.
  void KillIfTerminating(int dispatcher);
  void Pause(int dispatcher);
  void Resume(int dispatcher);
  // Writes a configuration with the current address of discovery and sends SIGHUP.
  void Reload(int dispatcher);
  // Sends SIGHUP without a change of the configuration.
  void ReloadUnchanged(int dispatcher) { processes_[dispatcher].daemon->Signal(SIGHUP); }

  bool IsUp(int dispatcher) const { return processes_[dispatcher].state == ProcessState::kUp; }
  // Returns whether the dispatcher is up and, if it was restarted, has reported that it is ready.
  bool IsReady(int dispatcher) const { return IsUp(dispatcher) && processes_[dispatcher].restarted_at == 0; }
  // The number of times that the dispatcher's processes were killed.
  int kills(int dispatcher) const { return processes_[dispatcher].kills; }
  bool IsRunning(int dispatcher) const { return processes_[dispatcher].daemon != nullptr; }
  std::uint16_t http_port(int dispatcher) const { return processes_[dispatcher].daemon->ports().at("http"); }

  // Restarts processes that have ended. Call it periodically.
  void Poll();
  bool AllUp() const;
  // Returns whether each restarted dispatcher is ready or has exceeded the time allowed for its start.
  bool AllRestartsFinished() const;
  // The number of processes that ended without SIGTERM or with a status other than 0.
  int unexpected_exits() const { return unexpected_exits_; }
  // Records the restarted dispatchers that never became ready. Call it once, at the end of the run.
  void RecordUnfinishedRestarts();
  // Kills all processes.
  void StopAll();

 private:
  struct Process {
    Dispatchers* owner = nullptr;
    std::unique_ptr<tests::DaemonUnderTest> daemon;
    nlohmann::json config, operator_settings;
    ProcessState state = ProcessState::kDown;
    bool started_before = false;
    int kills = 0;
    Micros restarted_at = 0;  // by the steady clock; 0 if not restarted, or once ready
    EventPtr<evhttp_connection> readiness_connection;
    bool readiness_request_open = false;  // a readiness request is waiting for its answer
  };
  static void OnReadiness(evhttp_request* request, void* process);
  void Configure(int dispatcher);
  void RequestReadiness(Process* process);

  RunContext context_;
  FleetDiscovery* discovery_;
  ClusterMembership* cluster_;
  std::string program_;
  std::vector<Process> processes_;
  int unexpected_exits_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DISPATCHERS_H_
