// Validation of a dispatcher's settings.
#ifndef ALDERSILL_SRC_DISPATCH_SETTINGS_H_
#define ALDERSILL_SRC_DISPATCH_SETTINGS_H_

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::dispatch {

// Returns the settings with the tenants' shares scaled to sum to one; throws std::invalid_argument that names
// the first invalid setting.
Settings ValidatedSettings(Settings settings);

// This node's even part of the tenants' quotas in requests a second; 0 where no tenant has one.
double NodeQuota(const Settings& settings);

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_SETTINGS_H_
