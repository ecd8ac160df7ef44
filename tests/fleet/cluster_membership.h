// The cluster of a run whose dispatchers know one another: their membership settings, the datagram links
// between them, and what they report over their control sockets about members and duties.
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
  // `is_running`: whether a dispatcher has a process now. Polls the dispatchers from now on. Throws
  // std::runtime_error if it cannot make its folder or sockets.
  ClusterMembership(const RunContext& context, std::function<bool(int dispatcher)> is_running);
  ~ClusterMembership();

  // The operator's settings of a dispatcher.
  nlohmann::json OperatorSettings(int dispatcher) const;
  // Call before and after a new process of a dispatcher starts.
  void ProcessStarting(int dispatcher);
  void ProcessStarted(int dispatcher, std::uint16_t membership_port);

  DatagramLinks& links() { return links_; }
  // A dispatcher that reported last that it holds the lease.
  std::optional<int> LeaseHolder() const;
  // By the last reports: all dispatchers know one another, one holds the lease, and each worker is health
  // checked by one dispatcher.
  bool HasConverged() const;

 private:
  struct Report {
    std::unique_ptr<ControlRequest> duties_request, members_request;  // not answered yet
    bool knows_all = false;
    bool holds_lease = false;
    int owned_workers = 0;   // that this dispatcher health checks
    int shared_workers = 0;  // that all dispatchers together health check
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
  std::filesystem::path folder_;  // of the key file and the control sockets
  DatagramLinks links_;
  std::vector<Report> reports_;
  Timer poll_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_CLUSTER_MEMBERSHIP_H_
