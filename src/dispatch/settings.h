// Validates a dispatcher's settings and derives values from them.
#ifndef ALDERSILL_SRC_DISPATCH_SETTINGS_H_
#define ALDERSILL_SRC_DISPATCH_SETTINGS_H_

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::dispatch {

// Returns the settings with the tenants' shares scaled to sum to one. Throws std::invalid_argument with a
// message that names the first invalid setting.
Settings ValidatedSettings(Settings settings);

// The sum of the tenants' quotas divided by the number of nodes, in requests a second; 0 if no tenant has a
// quota.
double NodeQuota(const Settings& settings);

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_SETTINGS_H_
