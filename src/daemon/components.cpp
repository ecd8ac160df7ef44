#include "daemon/components.h"

namespace aldersill {

std::vector<std::unique_ptr<Component>> MakeComponents(const ComponentContext& context) {
  std::vector<std::unique_ptr<Component>> components;
  // First: the platform component's start depends on whether another process of this dispatcher runs.
  components.push_back(MakeUpgradeComponent(context));
  components.push_back(MakePlatformComponent(context));
  components.push_back(MakeFaktoryComponent(context));
  components.push_back(MakeSnmpComponent(context));
  // After the platform component, whose health checks it replaces where they are shared.
  components.push_back(MakeClusterComponent(context));
  components.push_back(MakeAdminComponent(context));
  components.push_back(MakeControlComponent(context));
  return components;
}

}  // namespace aldersill
