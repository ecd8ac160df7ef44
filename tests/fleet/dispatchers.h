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
  // `program`: the path of the dispatcher's program. `cluster`: null if the dispatchers do not know one
  // another.
  Dispatchers(const RunContext& context, FleetDiscovery* discovery, ClusterMembership* cluster,
              std::string program);

  // Throws std::runtime_error if the process does not start.
  void Start(int dispatcher);
  void Kill(int dispatcher);
  // From now on no request is sent to it, and its end with status 0 is expected; SIGTERM follows by
  // SendTerminate.
  void BeginTermination(int dispatcher);
  void SendTerminate(int dispatcher);
  // Kills the process that got the last SIGTERM, unless it has ended.
  void KillIfTerminating(int dispatcher);
  void Pause(int dispatcher);
  void Resume(int dispatcher);
  // Lets it read a configuration with the present address of discovery.
  void Reload(int dispatcher);
  // The same where that address has not changed.
  void ReloadUnchanged(int dispatcher) { processes_[dispatcher].daemon->Signal(SIGHUP); }

  bool IsUp(int dispatcher) const { return processes_[dispatcher].state == ProcessState::kUp; }
  // Up, and ready if it was restarted.
  bool IsReady(int dispatcher) const { return IsUp(dispatcher) && processes_[dispatcher].restarted_at == 0; }
  // How often its process was killed.
  int kills(int dispatcher) const { return processes_[dispatcher].kills; }
  bool IsRunning(int dispatcher) const { return processes_[dispatcher].daemon != nullptr; }
  std::uint16_t http_port(int dispatcher) const { return processes_[dispatcher].daemon->ports().at("http"); }

  // Restarts processes that have ended. Call it periodically.
  void Poll();
  bool AllUp() const;
  // Whether each restarted dispatcher is ready, or has exceeded its time for that.
  bool AllRestartsFinished() const;
  // Processes that ended without SIGTERM, or not with status 0.
  int unexpected_exits() const { return unexpected_exits_; }
  // Records the dispatchers that are not ready yet. Call it once, at the end of the run.
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
    Micros restarted_at = 0;  // by the steady clock; 0 once it is ready
    EventPtr<evhttp_connection> readiness_connection;
    bool readiness_asked = false;
  };
  static void OnReadiness(evhttp_request* request, void* process);
  void Configure(int dispatcher);
  void AskReadiness(Process* process);

  RunContext context_;
  FleetDiscovery* discovery_;
  ClusterMembership* cluster_;
  std::string program_;
  std::vector<Process> processes_;
  int unexpected_exits_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DISPATCHERS_H_
