// The SNMP agent: the core's counters, and what other parts add to the MIB.
#include "daemon/parts.h"
#include "log/log.h"
#include "snmp/agent.h"

namespace aldersill {
namespace {

class SnmpPart : public Part {
 public:
  explicit SnmpPart(const Surroundings& around) : around_(around) {}

  void Start(const Config& c) override {
    held_ = c.own.snmp;
    if (!held_.enabled)
      return;
    agent_ = std::make_unique<snmp::Agent>(around_.base, held_.listen, [this] {
      snmp::ObjectMap objects = snmp::Objects(around_.reducer->counters());
      for (const auto& add : around_.offers->snmp_objects)
        add(&objects);
      return objects;
    });
  }
  void Announce() override {
    if (agent_ == nullptr)
      return;
    Log(LogLevel::kInfo, "door",
        {{"name", "snmp"}, {"address", held_.listen.host + ":" + std::to_string(agent_->port())}});
  }
  // The library keeps global state, and cannot begin again.
  void Prepare(const Config& next) override {
    if (!(next.own.snmp == held_))
      throw ConfigError("snmp cannot change while the program runs");
  }

 private:
  const Surroundings around_;
  SnmpSettings held_;
  std::unique_ptr<snmp::Agent> agent_;
};

}  // namespace

std::unique_ptr<Part> MakeSnmpPart(const Surroundings& surroundings) {
  return std::make_unique<SnmpPart>(surroundings);
}

}  // namespace aldersill
