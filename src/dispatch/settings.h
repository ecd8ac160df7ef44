#ifndef ALDERSILL_SRC_DISPATCH_SETTINGS_H_
#define ALDERSILL_SRC_DISPATCH_SETTINGS_H_

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::dispatch {

// Returns the settings with the tenants' shares scaled to sum to one; throws std::invalid_argument naming the
// first that makes no sense.
Settings Checked(Settings settings);

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_SETTINGS_H_
