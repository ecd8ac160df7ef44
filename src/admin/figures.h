// The figures that DUMP gives, as statsd writes them: a name, a value and c for a counter or g for a gauge.
// Pure.
#ifndef ALDERSILL_SRC_ADMIN_FIGURES_H_
#define ALDERSILL_SRC_ADMIN_FIGURES_H_

#include <cstddef>
#include <string>

#include "core/counters.h"

namespace aldersill::admin {

// One line a figure, each with its end. Classes that the settings have dropped keep their counts.
// `avoided_workers`: listed ones that get nothing new now.
std::string EncodeFigures(const Counters& counters, std::size_t avoided_workers);

}  // namespace aldersill::admin

#endif  // ALDERSILL_SRC_ADMIN_FIGURES_H_
