#include "daemon/components.h"

namespace aldersill {
namespace {

// Descriptors for what is not a connection: standard streams, epoll, signals, listeners, discovery.
constexpr int kReserved = 40 + kAdminConnections;

}  // namespace

DescriptorShares::DescriptorShares(const Config& config) {
  const int all = config.sockets - kReserved;
  sessions = config.own.faktory.enabled ? all / 4 : 0;
  clients = workers = (all - sessions) / 2;
}

std::vector<std::unique_ptr<Component>> MakeComponents(const ComponentContext& context) {
  std::vector<std::unique_ptr<Component>> components;
  components.push_back(MakeUpgradeComponent(context));
  components.push_back(MakePlatformComponent(context));
  components.push_back(MakeFaktoryComponent(context));
  components.push_back(MakeSnmpComponent(context));
  components.push_back(MakeClusterComponent(context));
  components.push_back(MakeAdminComponent(context));
  components.push_back(MakeControlComponent(context));
  return components;
}

}  // namespace aldersill
