// The cluster of a run whose dispatchers are its members: their membership settings, the datagram links
// between them, and their reports about members and duties from the control sockets.
#ifndef ALDERSILL_TESTS_FLEET_CLUSTER_MEMBERSHIP_H_
#define ALDERSILL_TESTS_FLEET_CLUSTER_MEMBERSHIP_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/control_request.h"
#include "fleet/datagram_links.h"
#include "fleet/run_context.h"
#include "net/timer.h"

namespace aldersill::fleet {

class ClusterMembership {
 public:
  // Polls the dispatchers from now on. `is_running` returns whether a dispatcher has a process. Throws
  // std::runtime_error if the temporary folder or a socket cannot be created.
  ClusterMembership(const RunContext& context, std::function<bool(int dispatcher)> is_running);
  ~ClusterMembership();

  // Returns the operator's settings of a dispatcher: its control socket, membership and duties.
  nlohmann::json OperatorSettings(int dispatcher) const;
  // Call before and after a new process of a dispatcher starts.
  void ProcessStarting(int dispatcher);
  void ProcessStarted(int dispatcher, std::uint16_t membership_port);

  DatagramLinks& links() { return links_; }
  // Returns the first dispatcher whose last report says that it holds the lease.
  std::optional<int> LeaseHolder() const;
  // Returns whether, by the last reports, every dispatcher sees all others as alive, one holds the lease, and
  // each worker is health checked by one dispatcher.
  bool HasConverged() const;

 private:
  struct Report {
    std::unique_ptr<ControlRequest> duties_request, members_request;  // null unless waiting for an answer
    bool knows_all = false;
    bool holds_lease = false;
    int owned_workers = 0;   // number of workers that this dispatcher health checks
    int shared_workers = 0;  // number of workers that all dispatchers together health check
  };
  void PollAll();
  void PollDispatcher(int dispatcher);
  void DutiesReported(int dispatcher, Micros asked_at, const std::string& answer);
  void MembersReported(int dispatcher, const std::string& answer);
  std::string ControlSocket(int dispatcher) const;
  std::string Address(int dispatcher) const;
  nlohmann::json MembershipSettings(int dispatcher) const;
  nlohmann::json DutySettings() const;

  RunContext context_;
  std::function<bool(int)> is_running_;
  std::filesystem::path folder_;  // contains the key file and the control sockets
  DatagramLinks links_;
  std::vector<Report> reports_;
  Timer poll_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_CLUSTER_MEMBERSHIP_H_
