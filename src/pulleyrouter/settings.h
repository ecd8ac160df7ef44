#ifndef PULLEYROUTER_SRC_SETTINGS_H_
#define PULLEYROUTER_SRC_SETTINGS_H_

#include "pulleyrouter/dispatcher.h"

namespace pulleyrouter {

// Returns the settings with the tenants' shares scaled to sum to one; throws std::invalid_argument naming the
// first that makes no sense.
Settings Checked(Settings settings);

}  // namespace pulleyrouter

#endif  // PULLEYROUTER_SRC_SETTINGS_H_
