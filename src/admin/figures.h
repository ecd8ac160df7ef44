// The metrics that DUMP prints, in statsd's text format: a name, a value, and c for a counter or g for a
// gauge. Does no I/O.
#ifndef ALDERSILL_SRC_ADMIN_FIGURES_H_
#define ALDERSILL_SRC_ADMIN_FIGURES_H_

#include <cstddef>
#include <string>

#include "core/counters.h"

namespace aldersill::admin {

// Returns one line per metric, each with its line end. Classes that a reload has removed keep their counters.
// `avoided_workers`: the number of listed workers that get no new attempts at present.
std::string EncodeMetrics(const Counters& counters, std::size_t avoided_workers);

}  // namespace aldersill::admin

#endif  // ALDERSILL_SRC_ADMIN_FIGURES_H_
