#include "fleet/cluster_membership.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

constexpr Micros kPollInterval = 100 * kMillisecond;

std::filesystem::path MakeTemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder for the cluster's keys and control sockets");
  return pattern;
}

}  // namespace

ClusterMembership::ClusterMembership(const RunContext& context, std::function<bool(int)> is_running)
    : context_(context),
      is_running_(std::move(is_running)),
      folder_(MakeTemporaryFolder()),
      links_(context.base, context.table.dispatchers, context.table.seed),
      reports_(context.table.dispatchers),
      poll_(context.base, [this] { PollAll(); }) {
  std::ofstream(folder_ / "keys") << std::string(64, '5') << "\n";
  std::filesystem::permissions(folder_ / "keys", std::filesystem::perms::owner_read);
  poll_.Set(kPollInterval);
}

ClusterMembership::~ClusterMembership() {
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string ClusterMembership::ControlSocket(int dispatcher) const {
  return (folder_ / ("control" + std::to_string(dispatcher))).string();
}

std::string ClusterMembership::Address(int dispatcher) const {
  return "127.0.0.1:" + std::to_string(links_.port(dispatcher));
}

nlohmann::json ClusterMembership::OperatorSettings(int dispatcher) const {
  return {{"control", {{"socket", ControlSocket(dispatcher)}}},
          {"membership", MembershipSettings(dispatcher)},
          {"duties", DutySettings()}};
}

nlohmann::json ClusterMembership::MembershipSettings(int dispatcher) const {
  return {{"enabled", true},
          {"listen", "127.0.0.1:0"},
          {"advertise", Address(dispatcher)},
          {"key_file", (folder_ / "keys").string()},
          {"join", {Address(0), Address(1 % context_.table.dispatchers)}},
          {"probe_interval_ms", 200},
          {"probe_timeout_ms", 100},
          {"gossip_interval_ms", 40},
          {"compare_interval_ms", 500}};
}

nlohmann::json ClusterMembership::DutySettings() const {
  nlohmann::json voters = nlohmann::json::array();
  for (int voter = 0; voter < std::min(kVoters, context_.table.dispatchers); ++voter)
    voters.push_back("d" + std::to_string(voter));
  return {{"probing", true},
          {"probes", {{"interval_ms", 500}, {"timeout_ms", 250}}},
          {"exclusive", {"housekeeping"}},
          {"voters", voters},
          {"lease_ms", 1'500}};
}

void ClusterMembership::ProcessStarting(int dispatcher) {
  Report& report = reports_[dispatcher];
  report.duties_request.reset();
  report.members_request.reset();
  report.knows_all = report.holds_lease = false;
  report.owned_workers = 0;
}

void ClusterMembership::ProcessStarted(int dispatcher, std::uint16_t membership_port) {
  links_.SetProcessPort(dispatcher, membership_port);
}

void ClusterMembership::PollAll() {
  poll_.Set(kPollInterval);
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher) {
    if (is_running_(dispatcher))
      PollDispatcher(dispatcher);
  }
}

// Sends a request of each kind unless the previous one of that kind is still open.
void ClusterMembership::PollDispatcher(int dispatcher) {
  Report& report = reports_[dispatcher];
  if (report.duties_request == nullptr)
    report.duties_request = std::make_unique<ControlRequest>(
        context_.base, ControlSocket(dispatcher), "duties",
        [this, dispatcher, asked_at = context_.recorder.clock().Now()](const std::string& answer) {
          DutiesReported(dispatcher, asked_at, answer);
        });
  if (report.members_request == nullptr)
    report.members_request = std::make_unique<ControlRequest>(
        context_.base, ControlSocket(dispatcher), "members",
        [this, dispatcher](const std::string& answer) { MembersReported(dispatcher, answer); });
}

void ClusterMembership::DutiesReported(int dispatcher, Micros asked_at, const std::string& answer) {
  Report& report = reports_[dispatcher];
  const auto finished = std::move(report.duties_request);
  report.holds_lease = false;
  if (answer.empty())
    return;
  const nlohmann::json duties = nlohmann::json::parse(answer);
  report.owned_workers = duties.at("probing").at("owned");
  report.shared_workers = duties.at("probing").at("workers");
  const nlohmann::json& lease = duties.at("exclusive").at(0);
  report.holds_lease = lease.at("held");
  if (report.holds_lease)
    context_.recorder.Record({.kind = Kind::kLeaseReported,
                              .dispatcher = dispatcher,
                              .term = lease.at("term"),
                              .asked_at = asked_at});
}

void ClusterMembership::MembersReported(int dispatcher, const std::string& answer) {
  Report& report = reports_[dispatcher];
  const auto finished = std::move(report.members_request);
  report.knows_all = false;
  if (answer.empty())
    return;
  const nlohmann::json members = nlohmann::json::parse(answer).at("members");
  report.knows_all =
      std::ssize(members) == context_.table.dispatchers &&
      std::ranges::all_of(members, [](const auto& member) { return member.at("state") == "alive"; });
}

std::optional<int> ClusterMembership::LeaseHolder() const {
  const auto holder = std::ranges::find_if(reports_, &Report::holds_lease);
  if (holder == reports_.end())
    return std::nullopt;
  return static_cast<int>(holder - reports_.begin());
}

bool ClusterMembership::HasConverged() const {
  int owned = 0;
  for (const Report& report : reports_)
    owned += report.owned_workers;
  return LeaseHolder() && std::ranges::all_of(reports_, [owned](const Report& report) {
           return report.knows_all && report.shared_workers == owned;
         });
}

}  // namespace aldersill::fleet
