#include "daemon/components.h"

namespace aldersill {

std::vector<std::unique_ptr<Component>> MakeComponents(const ComponentContext& context) {
  std::vector<std::unique_ptr<Component>> components;
  // The upgrade component is first, because the platform component's start depends on whether another process
  // of this dispatcher runs.
  components.push_back(MakeUpgradeComponent(context));
  components.push_back(MakePlatformComponent(context));
  components.push_back(MakeFaktoryComponent(context));
  components.push_back(MakeSnmpComponent(context));
  // The cluster component is after the platform component, whose handler for health checks it replaces if the
  // members share them.
  components.push_back(MakeClusterComponent(context));
  components.push_back(MakeAdminComponent(context));
  components.push_back(MakeControlComponent(context));
  return components;
}

}  // namespace aldersill
