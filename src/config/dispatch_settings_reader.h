// Reads the dispatch module's settings from the object `settings` of the platform's file.
#ifndef ALDERSILL_SRC_CONFIG_DISPATCH_SETTINGS_READER_H_
#define ALDERSILL_SRC_CONFIG_DISPATCH_SETTINGS_READER_H_

#include "aldersill/dispatch/dispatcher.h"
#include "config/json_field.h"

namespace aldersill {

// Reads all settings from `field`, with defaults for absent optional fields. Throws MissingField or BadValue.
dispatch::Settings ReadDispatchSettings(const JsonField& field);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_DISPATCH_SETTINGS_READER_H_
