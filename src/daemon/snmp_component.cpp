// The SNMP agent: the core's counters, and what other parts add to the MIB.
#include "daemon/components.h"
#include "log/log.h"
#include "snmp/agent.h"

namespace aldersill {
namespace {

class SnmpComponent : public Component {
 public:
  explicit SnmpComponent(const ComponentContext& context) : context_(context) {}

  void Start(const Config& c) override {
    held_ = c.own.snmp;
    if (!held_.enabled)
      return;
    agent_ = std::make_unique<snmp::Agent>(context_.base, held_.listen, [this] {
      snmp::ObjectMap objects = snmp::Objects(context_.reducer->counters());
      for (const auto& add : context_.registry->snmp_objects)
        add(&objects);
      return objects;
    });
  }
  void OnAllStarted() override {
    if (agent_ == nullptr)
      return;
    Log(LogLevel::kInfo, "door",
        {{"name", "snmp"}, {"address", held_.listen.host + ":" + std::to_string(agent_->port())}});
  }
  // The library keeps global state, and cannot begin again.
  void PrepareReload(const Config& next) override {
    if (!(next.own.snmp == held_))
      throw ConfigError("snmp cannot change while the program runs");
  }

 private:
  const ComponentContext context_;
  SnmpSettings held_;
  std::unique_ptr<snmp::Agent> agent_;
};

}  // namespace

std::unique_ptr<Component> MakeSnmpComponent(const ComponentContext& context) {
  return std::make_unique<SnmpComponent>(context);
}

}  // namespace aldersill
