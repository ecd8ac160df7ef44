// The figures that DUMP prints, in the text format of statsd: a name, a value, and c for a counter or g for a
// gauge. Pure.
#ifndef ALDERSILL_SRC_ADMIN_FIGURES_H_
#define ALDERSILL_SRC_ADMIN_FIGURES_H_

#include <cstddef>
#include <string>

#include "core/counters.h"

namespace aldersill::admin {

// One figure a line, each with its line end. Classes that a reload has removed keep their counters.
// `avoided_workers`: listed workers that get no new attempts now.
std::string EncodeFigures(const Counters& counters, std::size_t avoided_workers);

}  // namespace aldersill::admin

#endif  // ALDERSILL_SRC_ADMIN_FIGURES_H_
