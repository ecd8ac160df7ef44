// ALDERSILL-MIB's objects: the core's counters by their object identifiers. It knows no SNMP library.
#ifndef ALDERSILL_SRC_SNMP_OBJECTS_H_
#define ALDERSILL_SRC_SNMP_OBJECTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/counters.h"

namespace aldersill::snmp {

using ObjectId = std::vector<std::uint64_t>;
struct Gauge {
  std::uint32_t value;
};
struct Counter {
  std::uint64_t value;
};
using Value = std::variant<Gauge, Counter, std::string>;

// Every instance there is, below the MIB's root, in the order in which GETNEXT walks them.
using ObjectMap = std::map<ObjectId, Value>;
ObjectMap Objects(const Counters& counters);

}  // namespace aldersill::snmp

#endif  // ALDERSILL_SRC_SNMP_OBJECTS_H_
