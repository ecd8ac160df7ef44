// Instances that know one another: the cluster's core on a UDP socket and a timer, probes over the platform's
// links, results to the decision module. Off unless the operator's file turns it on.
#include <deque>
#include <nlohmann/json.hpp>
#include <utility>

#include "cluster/cluster.h"
#include "cluster/objects.h"
#include "daemon/components.h"
#include "log/log.h"
#include "membership/transport.h"
#include "net/message_pack.h"

namespace aldersill {
namespace {

// How soon a change of the name table reaches the division of the workers.
constexpr Micros kLookAtNames = 100 * kMillisecond;

cluster::Settings ForCluster(const Config& c, const std::string& address) {
  cluster::Settings s;
  s.membership = c.own.membership.core;
  s.membership.name = c.name;
  s.membership.address = address;
  if (c.own.duties.probing) {
    s.probing = c.own.duties.probes;
    s.probing->name = c.name;
  }
  s.exclusive = c.own.duties.exclusive;
  s.voters = c.own.duties.voters;
  s.lease = c.own.duties.lease;
  s.most_drift = c.own.duties.most_drift;
  return s;
}

class ClusterComponent : public Component {
 public:
  explicit ClusterComponent(const ComponentContext& context)
      : context_(context),
        timer_(context.base, [this] { Post(cluster::TimerExpired{}); }),
        names_timer_(context.base, [this] { LookAtNames(); }) {}

  void Start(const Config& c) override {
    membership_ = c.own.membership;
    duties_ = c.own.duties;
    Offer();
    if (!membership_.enabled)
      return;
    if (c.name.empty() || c.name.size() > kMostMessageName)
      throw ConfigError("name must have 1 to " + std::to_string(kMostMessageName) +
                        " bytes where membership is on");
    transport_ = std::make_unique<membership::Transport>(
        context_.base, membership_.listen, membership::ReadKeys(membership_.key_file), context_.now,
        [this](std::string address, membership::Packet packet) {
          Post(cluster::PacketReceived{std::move(address), std::move(packet)});
        });
    const Endpoint own{membership_.listen.host, static_cast<std::uint16_t>(transport_->port())};
    address_ = membership_.advertise.empty() ? ToText(own) : membership_.advertise;
    core_ = std::make_unique<cluster::Cluster>(ForCluster(c, address_),
                                               c.seed ^ static_cast<std::uint64_t>(context_.now()));
    // The module's own wish for a probe is met by what all instances' probes bring.
    if (duties_.probing)
      context_.registry->probe = [](const ProbeWorker&) {};
  }

  void OnAllStarted() override {
    if (core_ == nullptr)
      return;
    Log(LogLevel::kInfo, "door",
        {{"name", "membership"},
         {"address", ToText({membership_.listen.host, static_cast<std::uint16_t>(transport_->port())})},
         {"advertised", address_}});
    Post(cluster::Start{static_cast<std::uint64_t>(context_.now() / kMillisecond)});
    LookAtNames();
  }

  void PrepareReload(const Config& next) override {
    if (!(next.own.membership == membership_))
      throw ConfigError("membership cannot change while the program runs");
    if (!(next.own.duties == duties_))
      throw ConfigError("duties cannot change while the program runs");
    if (core_ != nullptr && next.name != core_->members().settings().name)
      throw ConfigError("name cannot change while the program runs, as others know it");
    if (transport_ != nullptr)
      keys_ = membership::ReadKeys(membership_.key_file);
  }
  void CancelReload() override { keys_.clear(); }
  void ApplyReload(const Config&) override {
    if (transport_ != nullptr)
      transport_->ReplaceKeys(std::exchange(keys_, {}));
  }

  void BeginDrain() override {
    if (core_ != nullptr)
      Post(cluster::Leave{});
  }

 private:
  void Offer() {
    context_.registry->questions["members"] = [this] {
      nlohmann::json json = cluster::MembersAsJson(core_.get());
      for (std::size_t i = 0; transport_ != nullptr && i < transport_->sealer().dropped().size(); ++i)
        json["dropped"][membership::Name(static_cast<membership::Dropped>(i))] =
            transport_->sealer().dropped()[i];
      return json.dump();
    };
    context_.registry->questions["duties"] = [this] {
      return cluster::DutiesAsJson(core_.get(), context_.now()).dump();
    };
    context_.registry->snmp_objects.push_back([this](snmp::ObjectMap* objects) {
      if (core_ != nullptr)
        cluster::AddObjects(*core_, transport_->counters(), transport_->sealer(), context_.now(), objects);
    });
  }

  // An effect may bring an event at once: it waits until the effects before it are carried out.
  void Post(cluster::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(handling_, true))
      return;
    while (!events_.empty()) {
      cluster::Event next = std::move(events_.front());
      events_.pop_front();
      std::vector<cluster::Effect> effects;
      core_->Handle(context_.now(), std::move(next), &effects);
      for (cluster::Effect& effect : effects) {
        std::visit([this](auto&& e) { Do(std::move(e)); }, std::move(effect));
      }
    }
    handling_ = false;
    if (const Micros due = core_->next_due(); due != INT64_MAX)
      timer_.Set(std::max<Micros>(0, due - context_.now()));
  }

  void Do(cluster::Send&& e) { transport_->Send(e.address, e.packet); }
  void Do(cluster::Probe&& e) {
    context_.registry->probe_for({e.worker, e.address}, [this, number = e.number](ProbeCompleted answered) {
      Post(cluster::ProbeCompleted{number, answered.outcome, answered.elapsed, answered.report});
    });
  }
  void Do(cluster::Result&& e) {
    context_.sink->Post(ProbeCompleted{e.result.worker, e.result.outcome, e.result.elapsed, e.result.report});
  }
  void Do(membership::MembershipChange&& e) {
    using What = membership::MembershipChange::What;
    Log(e.what == What::kDead || e.what == What::kSuspect ? LogLevel::kWarning : LogLevel::kInfo,
        std::string("member_") + cluster::Name(e.what),
        {{"member", e.member.name},
         {"address", e.member.address},
         {"epoch", e.member.incarnation.epoch},
         {"by", e.member.accuser}});
  }
  void Do(cluster::LeaseChange&& e) {
    Log(LogLevel::kInfo, e.taken ? "duty_taken" : "duty_lost", {{"duty", e.duty}, {"term", e.term}});
  }

  void LookAtNames() {
    names_timer_.Set(kLookAtNames);
    const std::uint64_t news = context_.reducer->counters().endpoint_list_updates;
    if (std::exchange(seen_news_, news) == news)
      return;
    cluster::Workers workers;
    for (const auto& [name, worker] : context_.reducer->endpoints()) {
      if (worker.source == WorkerEndpoint::Source::kDiscovery &&
          worker.state == WorkerEndpoint::State::kReady)
        workers.all.emplace_back(name, worker.address);
    }
    Post(std::move(workers));
  }

  const ComponentContext context_;
  MembershipSettings membership_;
  DutiesSettings duties_;
  std::string address_;
  std::vector<membership::Key> keys_;  // read for a configuration that is not yet taken over
  std::unique_ptr<membership::Transport> transport_;
  std::unique_ptr<cluster::Cluster> core_;
  Timer timer_;
  Timer names_timer_;
  std::uint64_t seen_news_ = 0;
  std::deque<cluster::Event> events_;
  bool handling_ = false;
};

}  // namespace

std::unique_ptr<Component> MakeClusterComponent(const ComponentContext& context) {
  return std::make_unique<ClusterComponent>(context);
}

}  // namespace aldersill
