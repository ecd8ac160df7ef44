// The factories of all components.
#ifndef ALDERSILL_SRC_DAEMON_COMPONENTS_H_
#define ALDERSILL_SRC_DAEMON_COMPONENTS_H_

#include <memory>
#include <vector>

#include "daemon/component.h"

namespace aldersill {

std::unique_ptr<Component> MakeAdminComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeClusterComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeControlComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeFaktoryComponent(const ComponentContext& context);
std::unique_ptr<Component> MakePlatformComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeSnmpComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeUpgradeComponent(const ComponentContext& context);

// Returns all components in the order in which they must start.
std::vector<std::unique_ptr<Component>> MakeComponents(const ComponentContext& context);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_COMPONENTS_H_
