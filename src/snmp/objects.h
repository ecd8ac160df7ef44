// The objects of ALDERSILL-MIB, which are the core's counters by object identifier. Independent of the SNMP
// library.
#ifndef ALDERSILL_SRC_SNMP_OBJECTS_H_
#define ALDERSILL_SRC_SNMP_OBJECTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/counters.h"

namespace aldersill::snmp {

// The part of an object identifier below the root of the MIB.
using ObjectId = std::vector<std::uint64_t>;

// A Gauge32.
struct Gauge {
  std::uint32_t value;
};

// A Counter64.
struct Counter {
  std::uint64_t value;
};

using Value = std::variant<Gauge, Counter, std::string>;

// All object instances, in the order in which GETNEXT visits them.
using ObjectMap = std::map<ObjectId, Value>;

// Returns the objects of the MIB for these counters.
ObjectMap Objects(const Counters& counters);

}  // namespace aldersill::snmp

#endif  // ALDERSILL_SRC_SNMP_OBJECTS_H_
