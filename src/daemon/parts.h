// The makers of the parts, one for each file.
#ifndef ALDERSILL_SRC_DAEMON_PARTS_H_
#define ALDERSILL_SRC_DAEMON_PARTS_H_

#include <memory>

#include "daemon/part.h"

namespace aldersill {

std::unique_ptr<Part> MakePlatformPart(const Surroundings& surroundings);
std::unique_ptr<Part> MakeFaktoryPart(const Surroundings& surroundings);
std::unique_ptr<Part> MakeClusterPart(const Surroundings& surroundings);
std::unique_ptr<Part> MakeUpgradePart(const Surroundings& surroundings);
std::unique_ptr<Part> MakeAdminPart(const Surroundings& surroundings);
std::unique_ptr<Part> MakeControlPart(const Surroundings& surroundings);
std::unique_ptr<Part> MakeSnmpPart(const Surroundings& surroundings);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_PARTS_H_
