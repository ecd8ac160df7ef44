// The makers of the parts, one for each file.
#ifndef ALDERSILL_SRC_DAEMON_COMPONENTS_H_
#define ALDERSILL_SRC_DAEMON_COMPONENTS_H_

#include <memory>

#include "daemon/component.h"

namespace aldersill {

std::unique_ptr<Component> MakePlatformComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeFaktoryComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeClusterComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeUpgradeComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeAdminComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeControlComponent(const ComponentContext& context);
std::unique_ptr<Component> MakeSnmpComponent(const ComponentContext& context);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_COMPONENTS_H_
