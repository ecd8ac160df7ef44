// A cluster of three daemon processes, connected by a relay that can drop datagrams.
#ifndef ALDERSILL_TESTS_DAEMON_CLUSTER_UNDER_TEST_H_
#define ALDERSILL_TESTS_DAEMON_CLUSTER_UNDER_TEST_H_

#include <doctest/doctest.h>
#include <sys/stat.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "control/control.h"
#include "daemon_under_test.h"
#include "platform_config.h"
#include "probed_workers.h"
#include "udp_relay.h"

namespace aldersill::tests {

constexpr int kMembers = 3;
// Shorter than the defaults, to keep the tests short. The bounds in the tests are computed from these values.
constexpr int kMemberProbeMs = 100;
constexpr int kSuspicionRounds = 4;
constexpr int kWorkerProbeMs = 500;
constexpr int kLeaseMs = 1'500;

// Waits until the condition holds. Fails after 60 s, which is enough for a slow machine. `what` names the
// condition in the report.
inline void Await(const char* what, const std::function<bool()>& condition) {
  using Clock = std::chrono::steady_clock;
  CAPTURE(what);
  const auto deadline = Clock::now() + std::chrono::seconds(60);
  while (!condition()) {
    REQUIRE(Clock::now() < deadline);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));  // between two polls
  }
}

class ClusterUnderTest {
 public:
  // `joined`: whether the daemons know the addresses of the others; if not, each forms a cluster of its own.
  ClusterUnderTest(tools::ProbedWorkers* workers, bool joined)
      : workers_(workers), joined_(joined), relay_(kMembers), daemons_(kMembers) {
    WriteKeyFile();
    for (int member = 0; member < kMembers; ++member)
      StartMember(member);
  }

  // Starts the member, or restarts it if it has run before.
  void StartMember(int member) {
    auto& daemon = daemons_[member];
    daemon = std::make_unique<DaemonUnderTest>(Config(member), Settings(member));
    REQUIRE(daemon->ports().contains("membership"));
    relay_.SetMemberPort(member, daemon->ports().at("membership"));
  }
  DaemonUnderTest& daemon(int member) { return *daemons_[member]; }
  tools::UdpRelay& relay() { return relay_; }
  // Cuts the member off from all others, in both directions.
  void Isolate(int member) {
    for (int other = 0; other < kMembers; ++other) {
      if (other == member)
        continue;
      relay_.Cut(member, other);
      relay_.Cut(other, member);
    }
  }

  // The reply from the member's control socket; an empty object if there is no reply.
  nlohmann::json Query(int member, const char* query) const {
    const auto answer = control::Query(ControlSocket(member), query);
    return answer ? nlohmann::json::parse(*answer) : nlohmann::json::object();
  }

  // The state of `member` in the observer's view; empty if unknown.
  std::string StateOf(int observer, int member) const {
    const auto entry = MemberEntry(observer, member);
    return entry ? entry->at("state").get<std::string>() : "";
  }
  // The epoch of `member` in the observer's view; 0 if unknown.
  std::uint64_t EpochOf(int observer, int member) const {
    const auto entry = MemberEntry(observer, member);
    return entry ? entry->at("epoch").get<std::uint64_t>() : 0;
  }
  bool AllAlive() const {
    for (int observer = 0; observer < kMembers; ++observer) {
      for (int member = 0; member < kMembers; ++member) {
        if (StateOf(observer, member) != "alive")
          return false;
      }
    }
    return true;
  }

  // Number of workers that the member owns, i.e. whose health checks it makes.
  int OwnedWorkers(int member) const { return Query(member, "duties").at("probing").at("owned"); }
  bool EachWorkerOwnedOnce() const {
    int owned = 0;
    for (int member = 0; member < kMembers; ++member)
      owned += OwnedWorkers(member);
    return owned == workers_->size();
  }
  bool Converged() const { return AllAlive() && EachWorkerOwnedOnce(); }

  // The term under which the member holds the lease; 0 if it does not hold it.
  std::uint64_t LeaseTerm(int member) const {
    const nlohmann::json lease = Query(member, "duties").at("exclusive").at(0);
    return lease.at("held") ? lease.at("term").get<std::uint64_t>() : 0;
  }
  std::optional<int> LeaseHolder() const {
    for (int member = 0; member < kMembers; ++member) {
      if (LeaseTerm(member) != 0)
        return member;
    }
    return std::nullopt;
  }
  // Whether two members hold the lease at the same time. The members are queried one after another, so a
  // member counts only if it holds the lease in the same term before and after another one was seen to hold
  // it.
  bool TwoHoldLease() const {
    for (int member = 0; member < kMembers; ++member) {
      const std::uint64_t term = LeaseTerm(member);
      if (term != 0 && AnotherHoldsLease(member) && LeaseTerm(member) == term)
        return true;
    }
    return false;
  }

 private:
  static std::string Name(int member) { return "d" + std::to_string(member); }
  std::string KeyFile() const { return (directory_.path() / "keys").string(); }
  std::string ControlSocket(int member) const {
    return (directory_.path() / ("control" + std::to_string(member))).string();
  }
  // The member's address at the relay.
  std::string RelayedAddress(int member) const { return LoopbackAddress(relay_.port(member)); }

  void WriteKeyFile() const {
    constexpr mode_t kOwnerOnly = 0600;
    std::ofstream(KeyFile()) << std::string(64, '5') << "\n";
    chmod(KeyFile().c_str(), kOwnerOnly);
  }
  nlohmann::json Config(int member) const {
    nlohmann::json config = ConfigWithoutDiscovery();
    config["name"] = Name(member);
    nlohmann::json servers = nlohmann::json::array();
    for (int worker = 0; worker < workers_->size(); ++worker)
      servers.push_back(KnownServer("w" + std::to_string(worker), workers_->port(worker)));
    config["known"] = {{"version", 1}, {"full", true}, {"servers", servers}};
    return config;
  }
  nlohmann::json Settings(int member) const {
    return {{"logging", {{"lines_per_second", 1}}},
            {"control", {{"socket", ControlSocket(member)}}},
            {"membership", MembershipSettings(member)},
            {"duties",
             {{"probing", true},
              {"probes", {{"interval_ms", kWorkerProbeMs}, {"timeout_ms", kWorkerProbeMs / 2}}},
              {"exclusive", {"housekeeping"}},
              {"voters", {Name(0), Name(1), Name(2)}},
              {"lease_ms", kLeaseMs}}}};
  }
  nlohmann::json MembershipSettings(int member) const {
    nlohmann::json join = nlohmann::json::array();
    for (int other = 0; joined_ && other < kMembers; ++other)
      join.push_back(RelayedAddress(other));
    return {{"enabled", true},
            {"listen", "127.0.0.1:0"},
            {"advertise", RelayedAddress(member)},
            {"key_file", KeyFile()},
            {"join", join},
            {"probe_interval_ms", kMemberProbeMs},
            {"probe_timeout_ms", kMemberProbeMs / 2},
            {"suspicion_rounds", kSuspicionRounds},
            {"gossip_interval_ms", 20},
            {"compare_interval_ms", 500}};
  }

  std::optional<nlohmann::json> MemberEntry(int observer, int member) const {
    for (const auto& entry : Query(observer, "members").value("members", nlohmann::json::array())) {
      if (entry.at("name") == Name(member))
        return entry;
    }
    return std::nullopt;
  }
  bool AnotherHoldsLease(int member) const {
    bool another = false;
    for (int other = 0; other < kMembers; ++other)
      another |= other != member && LeaseTerm(other) != 0;
    return another;
  }

  const TemporaryDirectory directory_;
  tools::ProbedWorkers* workers_;
  const bool joined_;
  tools::UdpRelay relay_;
  std::vector<std::unique_ptr<DaemonUnderTest>> daemons_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_CLUSTER_UNDER_TEST_H_
