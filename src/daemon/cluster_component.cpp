// The cluster of dispatchers: runs the cluster's core, which does no I/O, on a UDP socket and a timer.
// Carries out the health checks that it requests through the platform component's worker client, and passes
// their results to the dispatcher's core. Off unless the operator's file enables membership.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster.h"
#include "cluster/objects.h"
#include "daemon/components.h"
#include "daemon/listener_log.h"
#include "log/log.h"
#include "membership/transport.h"
#include "net/message_pack.h"
#include "net/timer.h"

namespace aldersill {
namespace {

// The maximum delay until a change of the endpoint list affects the division of the workers among the
// members.
constexpr Micros kWorkersCheckInterval = 100 * kMillisecond;

cluster::Settings ClusterSettingsFrom(const Config& config, const std::string& advertised_address) {
  cluster::Settings settings;
  settings.membership = config.operator_settings.membership.core;
  settings.membership.name = config.name;
  settings.membership.address = advertised_address;
  if (config.operator_settings.duties.probing) {
    settings.probing = config.operator_settings.duties.probes;
    settings.probing->name = config.name;
  }
  settings.exclusive = config.operator_settings.duties.exclusive;
  settings.voters = config.operator_settings.duties.voters;
  settings.lease = config.operator_settings.duties.lease;
  settings.max_clock_drift = config.operator_settings.duties.max_clock_drift;
  return settings;
}

void CheckName(const std::string& name) {
  if (name.empty() || name.size() > kMaxMessageNameBytes)
    throw ConfigError("name must have 1 to " + std::to_string(kMaxMessageNameBytes) +
                      " bytes when membership is enabled");
}

class ClusterComponent : public Component {
 public:
  explicit ClusterComponent(const ComponentContext& context)
      : context_(context),
        core_timer_(context.base, [this] { Post(cluster::TimerExpired{}); }),
        workers_timer_(context.base, [this] { PostWorkersIfChanged(); }) {}

  void Start(const Config& config) override {
    membership_ = config.operator_settings.membership;
    duties_ = config.operator_settings.duties;
    RegisterQueries();
    RegisterSnmpObjects();
    if (!membership_.enabled)
      return;
    CheckName(config.name);
    OpenTransport();
    advertised_address_ = membership_.advertise.empty() ? ToText(ListenAddress()) : membership_.advertise;
    core_ = std::make_unique<cluster::Cluster>(ClusterSettingsFrom(config, advertised_address_),
                                               config.seed ^ static_cast<std::uint64_t>(context_.now()));
    // This process gets the results of all members' health checks, so the checks that the dispatcher's core
    // requests are not needed.
    if (duties_.probing)
      context_.registry->effects.probe = [](const ProbeWorker&) {};
  }

  void OnAllStarted() override {
    if (core_ == nullptr)
      return;
    Log(LogLevel::kInfo, kListenerLogEvent,
        {{"name", "membership"}, {"address", ToText(ListenAddress())}, {"advertised", advertised_address_}});
    Post(cluster::Started{static_cast<std::uint64_t>(context_.now() / kMillisecond)});
    PostWorkersIfChanged();
  }

  // Rejects changes of the membership, the duties and the name. Only the keys in the key file can change
  // while the program runs.
  void PrepareReload(const Config& next) override {
    if (!(next.operator_settings.membership == membership_))
      throw ConfigError("membership cannot change while the program runs");
    if (!(next.operator_settings.duties == duties_))
      throw ConfigError("duties cannot change while the program runs");
    if (core_ != nullptr && next.name != core_->members().settings().name)
      throw ConfigError(
          "name cannot change while the program runs, because other members identify this one by it");
    if (transport_ != nullptr)
      prepared_keys_ = membership::ReadKeys(membership_.key_file);
  }
  void CancelReload() override { prepared_keys_.clear(); }
  void ApplyReload(const Config& /*config*/) override {
    if (transport_ != nullptr)
      transport_->ReplaceKeys(std::exchange(prepared_keys_, {}));
  }

  void BeginDrain() override {
    if (core_ != nullptr)
      Post(cluster::LeaveRequested{});
  }

 private:
  void OpenTransport() {
    transport_ = std::make_unique<membership::Transport>(
        context_.base, membership_.listen, membership::ReadKeys(membership_.key_file), context_.now,
        [this](std::string address, membership::Packet packet) {
          Post(cluster::PacketReceived{std::move(address), std::move(packet)});
        });
  }
  // Returns the address that the transport is bound to. If the settings name port 0, it has the port that the
  // kernel chose.
  Endpoint ListenAddress() const {
    return {membership_.listen.host, static_cast<std::uint16_t>(transport_->port())};
  }

  void RegisterQueries() {
    auto& queries = context_.registry->operators.control_queries;
    queries["members"] = [this] { return MembersJson().dump(); };
    queries["duties"] = [this] { return cluster::DutiesAsJson(core_.get(), context_.now()).dump(); };
  }
  nlohmann::json MembersJson() const {
    nlohmann::json json = cluster::MembersAsJson(core_.get());
    if (transport_ == nullptr)
      return json;
    const auto& dropped = transport_->sealer().dropped();
    for (std::size_t i = 0; i < dropped.size(); ++i)
      json["dropped"][membership::Name(static_cast<membership::DropReason>(i))] = dropped[i];
    return json;
  }
  void RegisterSnmpObjects() {
    context_.registry->operators.snmp_object_providers.emplace_back([this](snmp::ObjectMap* objects) {
      if (core_ != nullptr)
        cluster::AddObjects(*core_, transport_->counters(), transport_->sealer(), context_.now(), objects);
    });
  }

  // Passes the event to the cluster's core and carries out its effects. An event that is posted while effects
  // are carried out is queued until all effects of the current event are done.
  void Post(cluster::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(handling_, true))
      return;
    while (!events_.empty()) {
      cluster::Event next = std::move(events_.front());
      events_.pop_front();
      Handle(std::move(next));
    }
    handling_ = false;
    if (const Micros due = core_->next_due(); due != INT64_MAX)
      core_timer_.Set(std::max<Micros>(0, due - context_.now()));
  }
  void Handle(cluster::Event event) {
    std::vector<cluster::Effect> effects;
    core_->Handle(context_.now(), std::move(event), &effects);
    for (const cluster::Effect& effect : effects)
      std::visit([this](const auto& typed_effect) { Perform(typed_effect); }, effect);
  }

  void Perform(const cluster::SendPacket& send) { transport_->Send(send.address, send.packet); }
  void Perform(const cluster::StartProbe& probe) {
    context_.registry->probe_with_callback(
        {probe.worker, probe.address}, [this, number = probe.number](const ProbeCompleted& completed) {
          Post(cluster::ProbeCompleted{number, completed.outcome, completed.elapsed, completed.report});
        });
  }
  void Perform(const cluster::DeliverResult& delivery) {
    const auto& result = delivery.result;
    context_.sink->Post(ProbeCompleted{result.worker, result.outcome, result.elapsed, result.report});
  }
  void Perform(const membership::MembershipChange& change) {
    using Kind = membership::MembershipChange::Kind;
    const bool lost = change.kind == Kind::kDead || change.kind == Kind::kSuspect;
    Log(lost ? LogLevel::kWarning : LogLevel::kInfo, std::string("member_") + cluster::Name(change.kind),
        {{"member", change.member.name},
         {"address", change.member.address},
         {"epoch", change.member.incarnation.epoch},
         {"by", change.member.accuser}});
  }
  void Perform(const cluster::LeaseChange& change) {
    Log(LogLevel::kInfo, change.acquired ? "duty_acquired" : "duty_lost",
        {{"duty", change.duty}, {"term", change.term}});
  }

  // Called once at the start and then every kWorkersCheckInterval.
  void PostWorkersIfChanged() {
    workers_timer_.Set(kWorkersCheckInterval);
    const std::uint64_t updates = context_.reducer->counters().endpoint_list_updates;
    if (std::exchange(posted_list_updates_, updates) != updates)
      Post(ReadyWorkers());
  }
  cluster::WorkersChanged ReadyWorkers() const {
    cluster::WorkersChanged workers;
    for (const auto& [name, worker] : context_.reducer->endpoints()) {
      if (worker.source == WorkerEndpoint::Source::kDiscovery &&
          worker.state == WorkerEndpoint::State::kReady)
        workers.workers.emplace_back(name, worker.address);
    }
    return workers;
  }

  const ComponentContext context_;
  MembershipSettings membership_;
  DutiesSettings duties_;
  std::string advertised_address_;
  std::vector<membership::Key> prepared_keys_;        // set between PrepareReload and ApplyReload
  std::unique_ptr<membership::Transport> transport_;  // null if membership is off
  std::unique_ptr<cluster::Cluster> core_;            // null if membership is off
  Timer core_timer_;
  Timer workers_timer_;
  // The number of endpoint list updates when the workers were last posted.
  std::uint64_t posted_list_updates_ = 0;
  std::deque<cluster::Event> events_;  // posted but not handled yet
  bool handling_ = false;              // whether Post is handling events now
};

}  // namespace

std::unique_ptr<Component> MakeClusterComponent(const ComponentContext& context) {
  return std::make_unique<ClusterComponent>(context);
}

}  // namespace aldersill
