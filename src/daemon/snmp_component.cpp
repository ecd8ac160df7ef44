// The SNMP agent, which serves the core's counters and the objects that components register. Off unless the
// operator's file enables it.
#include <memory>

#include "daemon/components.h"
#include "daemon/listener_log.h"
#include "snmp/agent.h"

namespace aldersill {
namespace {

class SnmpComponent : public Component {
 public:
  explicit SnmpComponent(const ComponentContext& context) : context_(context) {}

  void Start(const Config& config) override {
    settings_ = config.operator_settings.snmp;
    if (settings_.enabled)
      agent_ = std::make_unique<snmp::Agent>(context_.base, settings_.listen, [this] { return Objects(); });
  }
  void OnAllStarted() override {
    if (agent_ != nullptr)
      LogListener("snmp", settings_.listen.host, agent_->port());
  }
  // Rejects any change, because the SNMP library has global state and cannot be started a second time.
  void PrepareReload(const Config& next) override {
    if (!(next.operator_settings.snmp == settings_))
      throw ConfigError("snmp cannot change while the program runs");
  }

 private:
  snmp::ObjectMap Objects() const {
    snmp::ObjectMap objects = snmp::Objects(context_.reducer->counters());
    for (const auto& add_objects : context_.registry->operators.snmp_object_providers)
      add_objects(&objects);
    return objects;
  }

  const ComponentContext context_;
  SnmpSettings settings_;
  std::unique_ptr<snmp::Agent> agent_;  // null if the agent is off
};

}  // namespace

std::unique_ptr<Component> MakeSnmpComponent(const ComponentContext& context) {
  return std::make_unique<SnmpComponent>(context);
}

}  // namespace aldersill
